import type { ConfigSegment, RouteConfig } from '@laburnumshift/types';
import { z } from 'zod';
import { ACCOUNT_SCHEMA } from './account-schema.js';
import { ENTITY_SCHEMAS } from './entity-schemas.js';
import { POOL_SCHEMA } from './pool-schema.js';
import { SERVICE_SCHEMA } from './service-schema.js';

const DEFAULT_ORDER = 100;
/** Shorthand routes come after declared ones, so that a declared route can make an exception. */
const SHORTHAND_ORDER = 1000;

const routeSchema: z.ZodType<RouteConfig> = z
  .strictObject({
    name: ENTITY_SCHEMAS.name.optional(),
    order: z.number().int().default(DEFAULT_ORDER),
    service: ENTITY_SCHEMAS.name,
    accounts: z.array(ENTITY_SCHEMAS.name).min(1).optional(),
    pool: ENTITY_SCHEMAS.name,
  })
  .transform((route) => ({ ...route, name: route.name ?? `${route.service}-to-${route.pool}` }));

/** A declaration file. A service with `pool` adds the route `service/NAME`, a name that no declared route can have. */
export const DECLARATION_SCHEMA: z.ZodType<Omit<ConfigSegment, 'file'>> = z
  .strictObject({
    accounts: z.array(ACCOUNT_SCHEMA).default([]),
    services: z.array(SERVICE_SCHEMA).default([]),
    pools: z.array(POOL_SCHEMA).default([]),
    routes: z.array(routeSchema).default([]),
  })
  .transform(({ accounts, services, pools, routes }) => ({
    accounts,
    services: services.map(({ service }) => service),
    pools,
    routes: [
      ...routes,
      ...services.flatMap(({ service, pool }) =>
        pool === undefined
          ? []
          : [{ name: `service/${service.name}`, order: SHORTHAND_ORDER, service: service.name, pool }],
      ),
    ],
  }));
