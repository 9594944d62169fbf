import type { BackendServer } from './backend-server.js';
import type { StoreHost } from './store-host.js';

/** A pool of backend servers that serve the same services, with its own store hosts for cache pieces. */
export interface PoolConfig {
  readonly name: string;
  readonly kind: 'model' | 'plain';
  readonly servers: readonly BackendServer[];
  readonly stores: readonly StoreHost[];
  /** Model that the pool runs and the weight version to roll out; model pools only. */
  readonly model?: string | undefined;
  readonly weightVersion?: string | undefined;
  readonly adapters: readonly string[];
  /** Tokens in one cache piece, about 2,000. */
  readonly pieceTokens: number;
  /** Estimated size of one cache piece, bytes. */
  readonly pieceBytes: number;
  /** Slots of each server that are reserved for urgent requests. */
  readonly urgentSlots: number;
}
