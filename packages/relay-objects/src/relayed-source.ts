import type { ObjectSource, RelayedChanges } from '@laburnumshift/forward-types';

/** A source of platform objects whose watches are answered by another host while that one can be trusted. */
export interface RelayedSource extends ObjectSource {
  /** What to ask the other host: kinds, each with the revision after which changes are wanted. */
  readonly listWanted: () => readonly (readonly [kind: string, after: number])[];
  /**
   * Answers the watches that were asked for.
   *
   * @param answers by kind; `undefined` where the other host does not know what changed since then
   * @param elapsedMs upper bound of the time since the other host answered, milliseconds
   */
  readonly applyAnswers: (
    answers: ReadonlyMap<string, RelayedChanges | undefined>,
    elapsedMs: number,
  ) => void;
  /** The other host did not answer, or there is none: watches go to the store. */
  readonly stopFollowing: (reason: string) => void;
}
