import { readMonotonicMs, startTimer } from '@laburnumshift/clock';
import type {
  ChangeAges,
  CopyState,
  ListOutcome,
  ObjectSource,
  RelayedChanges,
  UnavailableOutcome,
  WatchOutcome,
} from '@laburnumshift/forward-types';
import { createLogger } from '@laburnumshift/logger';
import { createCircuitBreaker } from './create-circuit-breaker.js';
import type { RelayedSourceOptions } from './relayed-source-options.js';
import type { RelayedSource } from './relayed-source.js';

/**
 * A call that the other host has not answered within this time goes to the store, milliseconds: three of its usual answer
 * intervals.
 */
const HOST_TIMEOUT_MS = 1200;
/** Default maximum age of a copy that is followed, milliseconds: twice the wait of the other host's own watches. */
const DEFAULT_MAX_AGE_MS = 1600;
/** Maximum age for kinds that tolerate stale copies, milliseconds: more than the wait of their watches. */
const STALE_TOLERANT_MAX_AGE_MS = 20_000;
/** Wait of a watch at the store after the other host failed, milliseconds: short, so that the copy is confirmed at once. */
const CONFIRM_WAIT_MS = 1;
/**
 * When the copy of a relay has become old, its followers probe the store within this time, milliseconds. The store may refuse the relay
 * and serve others. It is short because the bound on applying a configuration goes on, and random because all followers notice at once.
 */
const FIRST_PROBE_SPREAD_MS = 300;
/** Random delay after a failed probe, milliseconds: the store is then probably down for all hosts, and each call to it has a cost. */
const MIN_PROBE_DELAY_MS = 2000;
const MAX_PROBE_DELAY_MS = 6000;
/**
 * A follower whose relay had an old copy twice within this time reads the store for as long, milliseconds. A relay without the store takes
 * its copies from other hosts, so they are recent and old by turns, and each change to the store costs a call for every kind.
 */
const DIRECT_HOLD_MS = 10_000;

/** A call that waits for the other host; `after` is the revision after which changes are wanted. */
interface PendingCall<T> {
  readonly after: number;
  readonly resolve: (outcome: T) => void;
  readonly stopTimer: () => void;
}

/** Whether an outcome says nothing about the store, because it was not called. */
const isLocal = (outcome: WatchOutcome | ListOutcome): boolean =>
  outcome.kind === 'compacted' && outcome.isLocal === true;

/** Wraps a source of platform objects so that another host answers its calls while that host is available. */
export function createRelayedSource(source: ObjectSource, options: RelayedSourceOptions): RelayedSource {
  const { kinds, staleTolerantKinds = [], getMaxWaitMs, pickRandom = Math.random } = options;
  const { getMaxAgeMs = () => DEFAULT_MAX_AGE_MS, isFollower = () => false } = options;
  const logger = createLogger('objects');
  const breaker = createCircuitBreaker(pickRandom);
  const pendingWatches = new Map<string, PendingCall<WatchOutcome>>();
  const pendingLists = new Map<string, PendingCall<ListOutcome>>();
  /** When the other host last sent a kind with a recent enough copy, monotonic milliseconds. */
  const lastAnswerMs = new Map<string, number>();
  /** When a follower probes the store, by the kind whose copy at the followed host is then too old, monotonic milliseconds. */
  const probeDueMs = new Map<string, number>();
  let stopProbeTimer = (): void => undefined;
  let isFollowing = false;
  /** Whether the followed host has an old copy while the store answers this host. */
  let isDirect = false;
  /** When this host last began to read the store because of an old copy, and until when it does so at least, monotonic milliseconds. */
  let directSinceMs = -Infinity;
  let directUntilMs = -Infinity;
  /** Revisions after which changes of a kind were last requested. */
  const lastRevisions = new Map<string, number>();

  const setFollowing = (value: boolean, reason: string): void => {
    if (value !== isFollowing)
      logger.info(value ? 'following a host' : 'watching the store', {
        reason,
        waiting: pendingWatches.size,
      });
    isFollowing = value;
  };
  const isStaleTolerant = (kind: string): boolean => staleTolerantKinds.includes(kind);
  const callGuarded = async <T extends WatchOutcome | ListOutcome>(
    ask: () => Promise<T>,
  ): Promise<T | UnavailableOutcome> => {
    if (!breaker.admitCall())
      return {
        kind: 'unavailable',
        reason: 'the store does not answer',
        failedMs: breaker.getMsSinceFailure(),
      };
    const sentMs = readMonotonicMs();
    const outcome = await ask();
    if (isLocal(outcome)) breaker.cancelProbe();
    else breaker.recordOutcome(outcome.kind !== 'unavailable', sentMs);
    if (outcome.kind === 'unavailable') isDirect = false;
    return outcome;
  };
  const watchStore = (kind: string, after: number, waitMs: number): Promise<WatchOutcome> =>
    callGuarded(() => source.watchChanges(kind, after, breaker.isOpen() ? CONFIRM_WAIT_MS : waitMs));
  const listStore = (kind: string, isStaleAllowed?: boolean): Promise<ListOutcome> =>
    callGuarded(() => source.listObjects(kind, isStaleAllowed));

  const takePending = <T>(waiting: Map<string, PendingCall<T>>, kind: string): PendingCall<T> | undefined => {
    const pending = waiting.get(kind);
    waiting.delete(kind);
    pending?.stopTimer();
    return pending;
  };
  /** Sends the pending calls of a kind to the store instead of the other host. */
  const sendToStore = (kind: string): void => {
    lastAnswerMs.delete(kind);
    const list = takePending(pendingLists, kind);
    if (list !== undefined) void listStore(kind).then(list.resolve);
    const watch = takePending(pendingWatches, kind);
    if (watch !== undefined) void watchStore(kind, watch.after, CONFIRM_WAIT_MS).then(watch.resolve);
  };
  const stopFollowing = (reason: string): void => {
    setFollowing(false, reason);
    lastAnswerMs.clear();
    for (const kind of [...pendingWatches.keys(), ...pendingLists.keys()]) sendToStore(kind);
  };
  const isKindAnswered = (kind: string): boolean =>
    readMonotonicMs() - (lastAnswerMs.get(kind) ?? -Infinity) <= HOST_TIMEOUT_MS;
  const waitForHost = <T>(waiting: Map<string, PendingCall<T>>, kind: string, after: number): Promise<T> =>
    new Promise((resolve) => {
      const stopTimer = startTimer(HOST_TIMEOUT_MS, () => {
        if (!isFollower() || !isHostAnswering()) stopFollowing('no answer of the host');
        else if (isReadFromStore(kind)) sendToStore(kind);
        else {
          ensureProbe(kind);
          waitAgain(kind);
        }
      });
      waiting.set(kind, { after, resolve, stopTimer });
    });
  const isHostAnswering = (): boolean => kinds.some(isKindAnswered);
  /** Probes the store with a short watch when the circuit breaker admits it; returns whether the store answered. */
  const probeStore = async (kind: string): Promise<boolean> => {
    const after = lastRevisions.get(kind);
    if (after === undefined || !breaker.admitCall()) return false;
    const sentMs = readMonotonicMs();
    const outcome = await source.watchChanges(kind, after, CONFIRM_WAIT_MS);
    if (isLocal(outcome)) {
      // The next probe is a list, which calls the store.
      lastRevisions.delete(kind);
      breaker.cancelProbe();
      return false;
    }
    breaker.recordOutcome(outcome.kind !== 'unavailable', sentMs);
    return outcome.kind !== 'unavailable';
  };
  /** Whether calls for a kind go to the store because the followed host has an old copy of it. */
  const isReadFromStore = (kind: string): boolean => isDirect && !isStaleTolerant(kind);
  const waitAgain = (kind: string): void => {
    const watch = takePending(pendingWatches, kind);
    if (watch !== undefined) void waitForHost(pendingWatches, kind, watch.after).then(watch.resolve);
    const list = takePending(pendingLists, kind);
    if (list !== undefined) void waitForHost(pendingLists, kind, list.after).then(list.resolve);
  };
  const setProbe = (kind: string, delayMs: number): void => {
    probeDueMs.set(kind, readMonotonicMs() + delayMs);
    stopProbeTimer();
    const nextMs = Math.min(...probeDueMs.values()) - readMonotonicMs();
    stopProbeTimer = startTimer(Math.max(0, nextMs), () => {
      void runDueProbe();
    });
  };
  /** Probes the store soon for a kind that the other host does not confirm, unless a probe for it is due already. */
  const ensureProbe = (kind: string): void => {
    if (!probeDueMs.has(kind)) setProbe(kind, pickRandom() * FIRST_PROBE_SPREAD_MS);
  };
  const scheduleNextProbe = (kind: string): void => {
    setProbe(kind, MIN_PROBE_DELAY_MS + pickRandom() * (MAX_PROBE_DELAY_MS - MIN_PROBE_DELAY_MS));
  };
  /** Probes the store for the kinds whose copies at the followed host are too old, and uses the store from then on if it answers. */
  const runDueProbe = async (): Promise<void> => {
    const now = readMonotonicMs();
    const dueKinds = [...probeDueMs].filter(([, dueMs]) => dueMs <= now).map(([kind]) => kind);
    const [firstKind] = dueKinds;
    if (firstKind === undefined || !isFollower() || isDirect) {
      for (const kind of dueKinds) probeDueMs.delete(kind);
      return;
    }
    for (const kind of dueKinds) scheduleNextProbe(kind);
    const listedKind = dueKinds.find((kind) => pendingLists.has(kind));
    if (listedKind !== undefined) {
      sendToStore(listedKind);
      return;
    }
    if (!(await probeStore(firstKind)) || !isFollower()) return;
    const directMs = readMonotonicMs();
    if (directMs - directSinceMs < DIRECT_HOLD_MS) directUntilMs = directMs + DIRECT_HOLD_MS;
    directSinceMs = directMs;
    isDirect = true;
    stopFollowing('the host has an old copy and the store answers');
  };
  /** Checks the age of the other host's copy; returns false when it is too old to be followed. */
  const checkAge = (kind: string, ageMs: number): boolean => {
    const maxAgeMs = isStaleTolerant(kind) ? STALE_TOLERANT_MAX_AGE_MS : getMaxAgeMs();
    const isHeld = isReadFromStore(kind) && readMonotonicMs() < directUntilMs;
    if (ageMs <= maxAgeMs && !isHeld) {
      setFollowing(true, 'the host sends changes');
      lastAnswerMs.set(kind, readMonotonicMs());
      // Old copies of kinds that tolerate them say nothing about the host's way to the store.
      if (isStaleTolerant(kind)) return true;
      if (isFollower()) setProbe(kind, maxAgeMs - ageMs + pickRandom() * FIRST_PROBE_SPREAD_MS);
      isDirect = false;
      return true;
    }
    if (isFollower()) {
      if (!isReadFromStore(kind)) ensureProbe(kind);
      return false;
    }
    setFollowing(false, 'the copy of the host is too old');
    sendToStore(kind);
    return false;
  };
  const addElapsed = ({ ageMs, changedMs, recoveredMs }: ChangeAges, elapsedMs: number): ChangeAges => ({
    ageMs: ageMs + elapsedMs,
    changedMs: changedMs + elapsedMs,
    recoveredMs: recoveredMs + elapsedMs,
  });
  /** Applies the changes of one kind; returns false when the copy that they come from is too old. */
  const applyAnswer = (kind: string, relayed: RelayedChanges, elapsedMs: number): boolean => {
    if (!checkAge(kind, relayed.ageMs + elapsedMs)) return false;
    const { changes, revision } = relayed;
    const ages = addElapsed(relayed, elapsedMs);
    if (relayed.after === 0) {
      const objects = changes.flatMap(({ object, isRemoved }) => (isRemoved ? [] : [object]));
      takePending(pendingLists, kind)?.resolve({ kind: 'listed', objects, revision, ages });
    }
    const pending = pendingWatches.get(kind);
    // The request may have been sent before the watch began; its answer may then lack changes.
    if (pending === undefined || relayed.after > pending.after) return true;
    takePending(pendingWatches, kind);
    pending.resolve({ kind: 'changes', changes, revision, ages });
    return true;
  };
  /** Confirms the copy of a kind when it is complete; returns true when it lacks changes. */
  const applyState = (state: CopyState, elapsedMs: number): boolean => {
    const { kind, revision, newest, ageMs, recoveredMs } = state;
    if (!kinds.includes(kind) || !checkAge(kind, ageMs + elapsedMs)) return false;
    if (pendingLists.has(kind)) return true;
    const pending = pendingWatches.get(kind);
    if (pending === undefined) return false;
    if (pending.after < newest) return true;
    takePending(pendingWatches, kind);
    const ages = addElapsed({ ageMs, changedMs: 0, recoveredMs }, elapsedMs);
    pending.resolve({ kind: 'changes', changes: [], revision: Math.max(revision, pending.after), ages });
    return false;
  };

  return {
    ...(source.watchRestores !== undefined && { watchRestores: source.watchRestores }),
    listObjects: (kind, isStaleAllowed) =>
      kinds.includes(kind) && isFollower()
        ? waitForHost(pendingLists, kind, 0)
        : listStore(kind, isStaleAllowed),
    writeStatus: (kind, name, status) => source.writeStatus(kind, name, status),
    watchChanges: (kind, after, waitMs) => {
      if (!kinds.includes(kind)) return source.watchChanges(kind, after, waitMs);
      lastRevisions.set(kind, after);
      const isFollowed = isKindAnswered(kind) || (isFollower() && isHostAnswering());
      if (isFollowed && !isReadFromStore(kind)) return waitForHost(pendingWatches, kind, after);
      return watchStore(kind, after, isStaleTolerant(kind) ? waitMs : Math.min(waitMs, getMaxWaitMs()));
    },
    listWantedKinds: () =>
      // Only the age is requested of kinds without a pending call.
      kinds.map((kind) => {
        const after = pendingLists.has(kind)
          ? 0
          : (pendingWatches.get(kind)?.after ?? Number.MAX_SAFE_INTEGER);
        return [kind, after] as const;
      }),
    applyRelayedChanges: (answers, elapsedMs) => {
      let isRecent = true;
      for (const [kind, relayed] of answers) {
        if (relayed === undefined) takePending(pendingWatches, kind)?.resolve({ kind: 'compacted' });
        else if (!applyAnswer(kind, relayed, elapsedMs)) isRecent = false;
      }
      return isRecent;
    },
    applyKindStates: (states, elapsedMs) => states.filter((state) => applyState(state, elapsedMs)).length > 0,
    stopFollowing,
    isStoreDown: breaker.isOpen,
    probeStore: async () => {
      const [kind] = lastRevisions.keys();
      if (kind !== undefined && (await probeStore(kind))) stopFollowing('the store answers again');
    },
  };
}
