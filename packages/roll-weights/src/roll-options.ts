import type { EngineControl, ForwardBounds } from '@laburnumshift/forward-types';
import type { Lease } from '@laburnumshift/hold-lease';
import type { FleetView } from '@laburnumshift/track-fleet';

/** Options of the rollout of weights. */
export interface RollOptions {
  readonly fleet: Pick<FleetView, 'listAll' | 'getWeights' | 'listWeights' | 'getConfig' | 'getBackend'>;
  readonly control: Pick<EngineControl, 'readReport' | 'sendOrder'>;
  /** Marks engines that are about to load, so that all hosts keep calls from them. */
  readonly markRolling: (engine: string, version: number) => Promise<boolean>;
  readonly lease: Pick<Lease, 'getFencing' | 'getRemainingMs'>;
  readonly host: string;
  readonly bounds: Pick<ForwardBounds, 'leaseMs'>;
}
