import type { BackendServer } from './backend-server.js';
import type { StoreHost } from './store-host.js';

/** A pool of backend servers that serve the same services, with its own cache store. */
export interface PoolConfig {
  readonly name: string;
  readonly kind: 'model' | 'plain';
  readonly servers: readonly BackendServer[];
  readonly stores: readonly StoreHost[];
  /** Model that the pool runs, with the weight version to roll out; model pools only. */
  readonly model?: string | undefined;
  readonly weightVersion?: string | undefined;
  readonly adapters: readonly string[];
  /** Tokens in one cache piece, about 2,000. */
  readonly pieceTokens: number;
  /** Modelled bytes of one cache piece. */
  readonly pieceBytes: number;
  /** Slots of each server that only urgent requests may use. */
  readonly urgentSlots: number;
}
