import type { CopyState, ObjectSource, RelayedChanges } from '@laburnumshift/forward-types';

/** Source of platform objects whose calls another host answers while its copy is recent enough. */
export interface RelayedSource extends ObjectSource {
  /**
   * Lists what to request from the other host: kinds, each with the revision after which changes are wanted. 0 requests all
   * objects; `Number.MAX_SAFE_INTEGER` requests only the age of the copy.
   */
  readonly listWantedKinds: () => readonly (readonly [kind: string, after: number])[];
  /**
   * Completes pending calls with the changes that the other host sent.
   *
   * @param answers by kind; `undefined` where the other host does not know the changes after the requested revision
   * @param elapsedMs upper bound of the time since the other host answered, milliseconds
   * @returns false when a copy of the other host is too old to be followed
   */
  readonly applyRelayedChanges: (
    answers: ReadonlyMap<string, RelayedChanges | undefined>,
    elapsedMs: number,
  ) => boolean;
  /**
   * Confirms the copies that already contain all changes that the other host has.
   *
   * @param elapsedMs upper bound of the time since the other host sent the states, milliseconds
   * @returns true when a copy lacks changes, so that they have to be requested
   */
  readonly applyKindStates: (states: readonly CopyState[], elapsedMs: number) => boolean;
  /** Sends pending and further calls to the store, because the other host did not answer or there is none. */
  readonly stopFollowing: (reason: string) => void;
  /** Whether the store did not answer the last call of this host. */
  readonly isStoreDown: () => boolean;
  /** Probes a store that is down when the next probe is due, and sends calls to it again when it answers. */
  readonly probeStore: () => Promise<void>;
}
