import type { ChoiceDeps } from '@laburnumshift/choose-server';
import type { Metrics } from '@laburnumshift/record-metrics';
import type { CallWork } from '@laburnumshift/track-engines';
import type { FleetView } from '@laburnumshift/track-fleet';
import type { HomeAsker } from './home-asker.js';
import type { QuestionDesk } from './question-desk.js';

/** Options of `createPlacer`. */
export interface PlacerOptions {
  readonly choice: ChoiceDeps;
  readonly fleet: Pick<FleetView, 'getBackend'>;
  readonly asker: Pick<HomeAsker, 'askHome'>;
  readonly desk: Pick<QuestionDesk, 'submitQuestion'>;
  /** Counts a placed call as load of its server until the returned function is called. */
  readonly reserveWork: (server: string, work: CallWork) => () => void;
  readonly metrics: Pick<Metrics, 'countEvent'>;
  /** Whether another host places the calls of this host. */
  readonly hasHome: () => boolean;
}
