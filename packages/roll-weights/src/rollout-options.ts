import type { StoreEra } from '@laburnumshift/order-revisions';
import type { EngineControl, ForwardBounds, OrderMark } from '@laburnumshift/forward-types';
import type { Lease } from '@laburnumshift/hold-lease';
import type { FleetView } from '@laburnumshift/track-fleet';

/** Options of `orderWeights`. */
export interface RolloutOptions {
  readonly fleet: Pick<FleetView, 'listAllBackends' | 'getWeights' | 'listWeights' | 'getBackend'>;
  readonly control: Pick<EngineControl, 'readReport' | 'sendOrder'>;
  /**
   * Writes the mark of an order, so that no host sends calls to the engine; false when the write failed or its result is
   * unknown.
   */
  readonly writeOrderMark: (engine: string, mark: OrderMark) => Promise<boolean>;
  readonly lease: Pick<Lease, 'getFencingToken' | 'getRemainingMs'>;
  /** Era of the store, which may be restored from a copy without the last marks; without it no mark is ever lost. */
  readonly era?: Pick<StoreEra, 'getAgeMs'> | undefined;
  /** Name of this host, written as the holder of marks and orders. */
  readonly host: string;
  readonly bounds: Pick<ForwardBounds, 'leaseMs'>;
}
