import type { ConfigSegment, PoolConfig, ServiceConfig } from '@laburnumshift/types';
import { listEntities } from './list-entities.js';
import type { SegmentFinding } from './segment-finding.js';

/** Rule about one member of a service or pool; `message` is the text of the finding. */
interface KindRule<T> {
  readonly member: string;
  readonly isViolated: (value: T) => boolean;
  readonly message: string;
}

const SERVICE_RULES: readonly KindRule<ServiceConfig>[] = [
  {
    member: 'idempotent',
    isViolated: (service) => service.kind === 'model' && !service.idempotent,
    message: 'a model service is always idempotent; only plain services may be non-idempotent',
  },
  {
    member: 'model',
    isViolated: (service) => service.kind === 'model' && service.model === undefined,
    message: 'a model service needs a model',
  },
  {
    member: 'model',
    isViolated: (service) => service.kind === 'plain' && service.model !== undefined,
    message: 'a plain service has no model',
  },
  {
    member: 'adapter',
    isViolated: (service) => service.kind === 'plain' && service.adapter !== undefined,
    message: 'a plain service has no adapter',
  },
];

const POOL_RULES: readonly KindRule<PoolConfig>[] = [
  {
    member: 'model',
    isViolated: (pool) => pool.kind === 'model' && pool.model === undefined,
    message: 'a model pool needs a model',
  },
  {
    member: 'weightVersion',
    isViolated: (pool) => pool.kind === 'model' && pool.weightVersion === undefined,
    message: 'a model pool needs a weightVersion',
  },
  {
    member: 'model',
    isViolated: (pool) => pool.kind === 'plain' && (pool.model ?? pool.weightVersion) !== undefined,
    message: 'a plain pool has neither model nor weightVersion',
  },
  {
    member: 'stores',
    isViolated: (pool) => pool.kind === 'plain' && pool.stores.length + pool.adapters.length > 0,
    message: 'a plain pool has neither stores nor adapters',
  },
  {
    member: 'servers',
    isViolated: (pool) => pool.kind === 'plain' && pool.servers.some((server) => server.role !== undefined),
    message: 'servers of a plain pool take no orders, so they have no role',
  },
  {
    member: 'urgentSlots',
    isViolated: (pool) => pool.servers.some((server) => server.slots <= pool.urgentSlots),
    message: 'each server needs more slots than urgentSlots, or other requests never run',
  },
];

/** Reports members that are not valid for the kind of their service or pool, and servers without slots for non-urgent requests. */
export function checkKinds(segments: readonly ConfigSegment[]): readonly SegmentFinding[] {
  const services = listEntities(segments, 'services').flatMap(({ file, path, value }) =>
    SERVICE_RULES.filter((rule) => rule.isViolated(value)).map(({ member, message }) => ({
      file,
      path: [...path, member],
      message,
    })),
  );
  const pools = listEntities(segments, 'pools').flatMap(({ file, path, value }) =>
    POOL_RULES.filter((rule) => rule.isViolated(value)).map(({ member, message }) => ({
      file,
      path: [...path, member],
      message,
    })),
  );
  return [...services, ...pools];
}
