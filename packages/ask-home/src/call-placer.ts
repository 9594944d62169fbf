import type { ServerChoice } from '@laburnumshift/choose-server';
import type { PlacementRequest } from '@laburnumshift/forward-types';

/** Chooses the backend server of each call. */
export interface CallPlacer {
  /**
   * Resolves with the chosen server or a refusal, and with `undefined` when `signal` is aborted because the caller disconnected.
   *
   * @param buildPlacementRequest called for each decision, so that its times are current after a wait
   */
  readonly placeCall: (
    buildPlacementRequest: () => PlacementRequest,
    signal: AbortSignal,
  ) => Promise<Exclude<ServerChoice, { kind: 'wait' }> | undefined>;
}
