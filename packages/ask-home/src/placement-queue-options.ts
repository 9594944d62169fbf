import type { ServerChoice } from '@laburnumshift/choose-server';
import type { PlacementRequest } from '@laburnumshift/forward-types';

/** Options of `createQuestionDesk`. */
export interface PlacementQueueOptions {
  /** Chooses a server for a question, refuses it, or returns `wait` when no server has free capacity. */
  readonly chooseServer: (question: PlacementRequest) => ServerChoice;
  /** Records a call for a service that was not sent before. */
  readonly recordFirstAttempt: (service: string) => void;
  /** Takes one retry from the budget of a service; false when the budget is exhausted. */
  readonly takeResend: (service: string) => boolean;
}
