import type { ChoiceDeps, ServerChoice } from '@laburnumshift/choose-server';
import type { PlacementRequest } from '@laburnumshift/forward-types';
import type { Metrics } from '@laburnumshift/record-metrics';

/** Options of `createPlacementQueue`. */
export interface PlacementQueueOptions {
  /**
   * Chooses a server for a placement request, refuses it, or returns `wait` when no server has free capacity.
   *
   * @param getReservedTokens returns the memory of an engine that the call must leave free
   */
  readonly chooseServer: (
    request: PlacementRequest,
    getReservedTokens: NonNullable<ChoiceDeps['getReservedTokens']>,
  ) => ServerChoice;
  /** Records a call for a service that was not sent before. */
  readonly recordFirstAttempt: (service: string) => void;
  /** Takes one resend from the budget of a service; false when the budget is exhausted. */
  readonly takeResend: (service: string) => boolean;
  /** Counts promises to refused callers and the calls that come at the promised time. */
  readonly metrics?: Pick<Metrics, 'addToCounter'>;
}
