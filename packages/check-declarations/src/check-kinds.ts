import type { ConfigSegment, PoolConfig, ServiceConfig } from '@laburnumshift/types';
import { listEntities } from './list-entities.js';
import type { SegmentFinding } from './segment-finding.js';

interface Rule<T> {
  readonly member: string;
  readonly isBroken: (value: T) => boolean;
  readonly message: string;
}

const SERVICE_RULES: readonly Rule<ServiceConfig>[] = [
  {
    member: 'idempotent',
    isBroken: (service) => service.kind === 'model' && !service.idempotent,
    message: 'a model service is always idempotent; only plain services may be non-idempotent',
  },
  {
    member: 'model',
    isBroken: (service) => service.kind === 'model' && service.model === undefined,
    message: 'a model service needs a model',
  },
  {
    member: 'model',
    isBroken: (service) => service.kind === 'plain' && service.model !== undefined,
    message: 'a plain service has no model',
  },
  {
    member: 'adapter',
    isBroken: (service) => service.kind === 'plain' && service.adapter !== undefined,
    message: 'a plain service has no adapter',
  },
];

const POOL_RULES: readonly Rule<PoolConfig>[] = [
  {
    member: 'model',
    isBroken: (pool) => pool.kind === 'model' && pool.model === undefined,
    message: 'a model pool needs a model',
  },
  {
    member: 'weightVersion',
    isBroken: (pool) => pool.kind === 'model' && pool.weightVersion === undefined,
    message: 'a model pool needs a weightVersion',
  },
  {
    member: 'model',
    isBroken: (pool) => pool.kind === 'plain' && (pool.model ?? pool.weightVersion) !== undefined,
    message: 'a plain pool has neither model nor weightVersion',
  },
  {
    member: 'stores',
    isBroken: (pool) => pool.kind === 'plain' && pool.stores.length + pool.adapters.length > 0,
    message: 'a plain pool has neither stores nor adapters',
  },
  {
    member: 'servers',
    isBroken: (pool) => pool.kind === 'plain' && pool.servers.some((server) => server.role !== undefined),
    message: 'servers of a plain pool take no orders, so they have no role',
  },
  {
    member: 'urgentSlots',
    isBroken: (pool) => pool.servers.some((server) => server.slots <= pool.urgentSlots),
    message: 'each server needs more slots than urgentSlots, or other requests never run',
  },
];

/** Reports services and pools whose members do not fit their kind. */
export function checkKinds(segments: readonly ConfigSegment[]): readonly SegmentFinding[] {
  const services = listEntities(segments, 'services').flatMap(({ file, path, value }) =>
    SERVICE_RULES.filter((rule) => rule.isBroken(value)).map(({ member, message }) => ({
      file,
      path: [...path, member],
      message,
    })),
  );
  const pools = listEntities(segments, 'pools').flatMap(({ file, path, value }) =>
    POOL_RULES.filter((rule) => rule.isBroken(value)).map(({ member, message }) => ({
      file,
      path: [...path, member],
      message,
    })),
  );
  return [...services, ...pools];
}
