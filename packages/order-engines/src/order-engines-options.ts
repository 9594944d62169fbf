import type { Lease } from '@laburnumshift/hold-lease';
import type { AuditRecord, EngineClient, PoolConfig } from '@laburnumshift/types';
import type { RolloutLimits } from './rollout-limits.js';

/** Options of `orderEngines` for the engines of one pool. */
export interface OrderEnginesOptions {
  /** Lease of the pool. Orders are sent only while this node holds it. */
  readonly lease: Pick<Lease, 'getFencingToken' | 'getRemainingMs'>;
  /** Returns the declared pool and its configuration generation, or `undefined` when the pool is not declared. */
  readonly getDeclaredPool: () => { readonly pool: PoolConfig; readonly generation: number } | undefined;
  /** Returns the client of a server's engine, or `undefined` when the server is not known. */
  readonly getEngineClient: (server: string) => Pick<EngineClient, 'readLoad' | 'sendOrder'> | undefined;
  /** Writes the audit record of an order. A rejection is logged, and the rollout continues. */
  readonly recordOrderAudit: (record: AuditRecord) => Promise<void>;
  /** Name of this host, which is the author of the audit records. */
  readonly host: string;
  readonly limits?: Partial<RolloutLimits> | undefined;
}
