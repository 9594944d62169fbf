import type { Lease } from '@laburnumshift/hold-lease';
import type { AuditRecord, EngineClient, PoolConfig } from '@laburnumshift/types';
import type { OrderLimits } from './order-limits.js';

/** Options of the orders to the engines of one pool. */
export interface OrderOptions {
  /** The lease of this pool; orders are sent only while it is held. */
  readonly lease: Pick<Lease, 'getFencingToken' | 'getRemainingMs'>;
  /** The pool as declared now, with the generation that declares it; `undefined` when there is none. */
  readonly getPool: () => { readonly pool: PoolConfig; readonly generation: number } | undefined;
  readonly getEngine: (server: string) => Pick<EngineClient, 'readLoad' | 'sendOrder'> | undefined;
  /** Keeps an audit record of each order. */
  readonly recordOrder: (record: AuditRecord) => Promise<void>;
  /** Name of this node, the author of the audit records. */
  readonly host: string;
  readonly limits?: Partial<OrderLimits> | undefined;
}
