import type { Config } from '@laburnumshift/types';

/** Sends orders to the engines of the pools whose lease this node holds. */
export interface OrderDuties {
  /** Starts the orders of new model pools and stops those of removed ones. */
  readonly applyConfig: (config: Config) => void;
  /** Lists the pools whose lease this node holds, with the fencing token of the lease. */
  readonly listHeld: () => readonly { readonly pool: string; readonly fencing: number }[];
  /** Stops all orders and releases the leases. */
  readonly release: () => Promise<void>;
}
