import type { Config } from '@laburnumshift/types';

/** Orders to the engines of the pools for which this node holds the lease. */
export interface OrderDuties {
  readonly applyConfig: (config: Config) => void;
  /** Pools whose lease this node holds, with the fencing number. */
  readonly listHeld: () => readonly { readonly pool: string; readonly fencing: number }[];
  /** Stops all orders and gives the leases back. */
  readonly release: () => Promise<void>;
}
