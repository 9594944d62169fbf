import { REFUSAL_CAUSES, type RefusalCause } from '@laburnumshift/choose-server';

/** Causes of refusals that pass without the caller, so that a stream that has begun waits for a server instead of ending. */
export const PASSING_REFUSALS: ReadonlySet<RefusalCause> = new Set([
  REFUSAL_CAUSES.noServer,
  REFUSAL_CAUSES.allEvacuated,
  REFUSAL_CAUSES.allPaused,
  REFUSAL_CAUSES.allLimited,
  REFUSAL_CAUSES.weights,
  REFUSAL_CAUSES.noCapacity,
]);
