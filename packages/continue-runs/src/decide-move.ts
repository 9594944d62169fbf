import { LOST_RUN_MS } from './lost-run-ms.js';
import type { MoveInput } from './move-input.js';
import type { MoveReason } from './move-reason.js';

/** Expected rest of a run below which it is left to end where it is, milliseconds: engines give two seconds of notice or more. */
const MIN_REST_MS = 300;
/** Share of the time so far that a run is expected to go on when it has taken longer than estimated. */
const LATE_REST_SHARE = 0.25;
/** Chance that a run at a leaving engine does not end there in time. */
const LEAVING_CHANCE = 0.5;
/** Time without an event from which on a run lags: a sound engine pauses for a second or so. */
const LAG_MS = 1500;
/** Number of usual pauses between events from which on a run lags. */
const LAG_PAUSES = 8;

/**
 * Decides whether a run is moved now, and what that is worth in milliseconds of delay: for a leaving engine the chance that the run does
 * not end there times what would be lost; for a lagging one the time for which it has lagged, as estimate of the time that it will.
 * Load: four times a second for each run at an engine service with moves.
 */
export function decideMove(
  input: MoveInput,
): { readonly reason: MoveReason; readonly gainMs: number } | undefined {
  const { elapsedMs, silentMs } = input;
  const restMs = Math.max(input.expectedRunMs - elapsedMs, elapsedMs * LATE_REST_SHARE);
  if (Math.min(restMs, input.remainingMs) < MIN_REST_MS) return undefined;
  if (input.isSourceLeaving) {
    const lossMs = input.isRepeatable ? elapsedMs : elapsedMs + LOST_RUN_MS;
    return { reason: 'leaving', gainMs: LEAVING_CHANCE * lossMs };
  }
  if (silentMs === undefined || silentMs < Math.max(LAG_MS, LAG_PAUSES * input.eventPauseMs))
    return undefined;
  return { reason: 'lagging', gainMs: silentMs };
}
