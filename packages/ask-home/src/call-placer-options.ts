import type { ChoiceDeps } from '@laburnumshift/choose-server';
import type { Metrics } from '@laburnumshift/record-metrics';
import type { CallWork } from '@laburnumshift/track-engines';
import type { FleetView } from '@laburnumshift/track-fleet';
import type { HomeClient } from './home-client.js';
import type { PlacementQueue } from './placement-queue.js';

/** Options of `createCallPlacer`. */
export interface CallPlacerOptions {
  readonly choiceDeps: ChoiceDeps;
  readonly fleet: Pick<FleetView, 'getBackend'>;
  readonly homeClient: Pick<HomeClient, 'askHome'>;
  readonly placementQueue: Pick<PlacementQueue, 'submitPlacementRequest'>;
  /** Counts a placed call as load of its server until the returned function is called. */
  readonly reserveWork: (server: string, work: CallWork) => () => void;
  readonly metrics: Pick<Metrics, 'addToCounter'>;
  /** Whether another host places the calls of this host. */
  readonly hasRemoteHome: () => boolean;
}
