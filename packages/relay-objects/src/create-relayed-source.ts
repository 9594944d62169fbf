import { readMonotonicMs, startTimer } from '@laburnumshift/clock';
import type { ObjectSource, RelayedChanges, WatchOutcome } from '@laburnumshift/forward-types';
import { createLogger } from '@laburnumshift/logger';
import type { RelayedSource } from './relayed-source.js';

/** A watch that the other host has not answered for so long goes to the store, milliseconds: three of its usual answers. */
const SILENT_MS = 1200;
/** A copy of the other host that is older than this is not followed, milliseconds: twice the wait of its own watches. */
const MAX_AGE_MS = 1600;
/** Wait of the store's answer when a watch of the other host was given up, milliseconds: the copy is to be confirmed at once. */
const CONFIRM_WAIT_MS = 1;

interface Waiting {
  readonly after: number;
  readonly resolve: (outcome: WatchOutcome) => void;
  readonly stopTimer: () => void;
}

/**
 * Wraps a source of platform objects.
 *
 * @param maxWaitMs longest wait of a watch that goes to the store, milliseconds; hosts that others follow wait shorter
 */
export function createRelayedSource(
  source: ObjectSource,
  kinds: readonly string[],
  maxWaitMs: () => number,
): RelayedSource {
  const logger = createLogger('objects');
  const waiting = new Map<string, Waiting>();
  /** When the other host last told of a kind. */
  const toldMs = new Map<string, number>();
  let isFollowing = false;

  const setFollowing = (value: boolean, reason: string): void => {
    if (value !== isFollowing)
      logger.info(value ? 'following a host' : 'watching the store', { reason, waiting: waiting.size });
    isFollowing = value;
  };
  const askStore = (kind: string): void => {
    const one = waiting.get(kind);
    waiting.delete(kind);
    toldMs.delete(kind);
    if (one === undefined) return;
    one.stopTimer();
    void source.watchKind(kind, one.after, CONFIRM_WAIT_MS).then(one.resolve);
  };
  const stopFollowing = (reason: string): void => {
    setFollowing(false, reason);
    toldMs.clear();
    for (const kind of [...waiting.keys()]) askStore(kind);
  };
  const isFollowed = (kind: string): boolean =>
    readMonotonicMs() - (toldMs.get(kind) ?? -Infinity) <= SILENT_MS;
  const applyAnswer = (kind: string, told: RelayedChanges, elapsedMs: number): void => {
    const ageMs = told.ageMs + elapsedMs;
    if (ageMs > MAX_AGE_MS) {
      setFollowing(false, 'the copy of the host is old');
      askStore(kind);
      return;
    }
    setFollowing(true, 'the host tells changes');
    toldMs.set(kind, readMonotonicMs());
    const one = waiting.get(kind);
    // The question may be older than the watch; its answer then lacks changes.
    if (one === undefined || told.after > one.after) return;
    waiting.delete(kind);
    one.stopTimer();
    const { changes, revision, changedMs, recoveredMs } = told;
    one.resolve({
      kind: 'changes',
      changes,
      revision,
      ages: { ageMs, changedMs: changedMs + elapsedMs, recoveredMs: recoveredMs + elapsedMs },
    });
  };

  return {
    listKind: (kind) => source.listKind(kind),
    writeStatus: (kind, name, status) => source.writeStatus(kind, name, status),
    watchKind: (kind, after, waitMs) => {
      if (!kinds.includes(kind)) return source.watchKind(kind, after, waitMs);
      if (!isFollowed(kind)) return source.watchKind(kind, after, Math.min(waitMs, maxWaitMs()));
      return new Promise((resolve) => {
        const stopTimer = startTimer(SILENT_MS, () => {
          stopFollowing('no answer of the host');
        });
        waiting.set(kind, { after, resolve, stopTimer });
      });
    },
    listWanted: () =>
      // Kinds that are not waited for are asked for their age alone.
      kinds.map((kind) => [kind, waiting.get(kind)?.after ?? Number.MAX_SAFE_INTEGER] as const),
    applyAnswers: (answers, elapsedMs) => {
      for (const [kind, told] of answers) {
        if (told !== undefined) {
          applyAnswer(kind, told, elapsedMs);
          continue;
        }
        const one = waiting.get(kind);
        waiting.delete(kind);
        one?.stopTimer();
        one?.resolve({ kind: 'compacted' });
      }
    },
    stopFollowing,
  };
}
