import type { ConfigSegment, RouteConfig } from '@laburnumshift/types';
import { z } from 'zod';
import { ACCOUNT_SCHEMA } from './account-schema.js';
import { ENTITY_SCHEMAS } from './entity-schemas.js';
import { POOL_SCHEMA } from './pool-schema.js';
import { SERVICE_SCHEMA } from './service-schema.js';

const DEFAULT_ROUTE_ORDER = 100;
/** Order of the route that the `pool` of a service adds; above the default, so that a declared route takes precedence. */
const SHORTHAND_ROUTE_ORDER = 1000;

const routeSchema: z.ZodType<RouteConfig> = z
  .strictObject({
    name: ENTITY_SCHEMAS.name.optional().describe('Name of the route; `SERVICE-to-POOL` by default.'),
    order: z
      .number()
      .int()
      .default(DEFAULT_ROUTE_ORDER)
      .describe('Routes with a lower order are tried first; the `pool` of a service has 1,000.'),
    service: ENTITY_SCHEMAS.name.describe('Service to which the route applies.'),
    accounts: z
      .array(ENTITY_SCHEMAS.name)
      .min(1)
      .optional()
      .describe('Client accounts to which the route applies; all when absent.'),
    pool: ENTITY_SCHEMAS.name.describe('Pool that takes the requests.'),
  })
  .transform((route) => ({ ...route, name: route.name ?? `${route.service}-to-${route.pool}` }));

/**
 * Schema of a declaration file. A service with `pool` adds the route `service/NAME`; declared routes cannot have this name,
 * because names contain no slash.
 */
export const DECLARATION_SCHEMA: z.ZodType<Omit<ConfigSegment, 'file'>> = z
  .strictObject({
    accounts: z.array(ACCOUNT_SCHEMA).default([]).describe('Client accounts with their keys and limits.'),
    services: z.array(SERVICE_SCHEMA).default([]).describe('Services that callers name in their requests.'),
    pools: z.array(POOL_SCHEMA).default([]).describe('Pools of backend servers with their stores.'),
    routes: z
      .array(routeSchema)
      .default([])
      .describe('Rules that send a service, or some accounts of it, to a pool; the first that matches wins.'),
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
          : [{ name: `service/${service.name}`, order: SHORTHAND_ROUTE_ORDER, service: service.name, pool }],
      ),
    ],
  }));
