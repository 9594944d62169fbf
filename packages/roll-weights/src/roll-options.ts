import type { EngineControl, ForwardBounds, OrderMark } from '@laburnumshift/forward-types';
import type { Lease } from '@laburnumshift/hold-lease';
import type { FleetView } from '@laburnumshift/track-fleet';

/** Options of the rollout of weights. */
export interface RollOptions {
  readonly fleet: Pick<FleetView, 'listAll' | 'getWeights' | 'listWeights' | 'getBackend'>;
  readonly control: Pick<EngineControl, 'readReport' | 'sendOrder'>;
  /** Writes the mark of an order, so that all hosts keep calls from the engine; false when that failed or is unknown. */
  readonly markEngine: (engine: string, mark: OrderMark) => Promise<boolean>;
  readonly lease: Pick<Lease, 'getFencing' | 'getRemainingMs'>;
  readonly host: string;
  readonly bounds: Pick<ForwardBounds, 'leaseMs'>;
}
