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
 * A host whose relay has an old copy probes the store itself after a random delay between these, milliseconds. When the store
 * refuses some hosts it may still serve others, but not all of them may probe it at once.
 */
const MIN_PROBE_DELAY_MS = 800;
const MAX_PROBE_DELAY_MS = 4000;

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
  /** When this host may probe the store although it follows another host, monotonic milliseconds. */
  let storeProbeMs: number | undefined;
  let isFollowing = false;
  /** Whether the followed host has an old copy while the store answers this host. */
  let isDirect = false;
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
        if (isFollower() && isHostAnswering()) probeStoreWhenDue(kind);
        else stopFollowing('no answer of the host');
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
  /** Used while the other host answers with an old copy: probes the store when its random delay has passed, and keeps waiting. */
  const probeStoreWhenDue = (kind: string): void => {
    if (isDirect) return;
    const now = readMonotonicMs();
    storeProbeMs ??= now + MIN_PROBE_DELAY_MS + pickRandom() * (MAX_PROBE_DELAY_MS - MIN_PROBE_DELAY_MS);
    if (now >= storeProbeMs) {
      storeProbeMs = undefined;
      if (pendingLists.has(kind)) {
        sendToStore(kind);
        return;
      }
      void probeStore(kind).then((isAnswered) => {
        if (!isAnswered) return;
        isDirect = true;
        stopFollowing('the host has an old copy and the store answers');
      });
    }
    const watch = takePending(pendingWatches, kind);
    if (watch !== undefined) void waitForHost(pendingWatches, kind, watch.after).then(watch.resolve);
    const list = takePending(pendingLists, kind);
    if (list !== undefined) void waitForHost(pendingLists, kind, list.after).then(list.resolve);
  };
  /** Checks the age of the other host's copy; returns false when it is too old to be followed. */
  const checkAge = (kind: string, ageMs: number): boolean => {
    if (ageMs <= (staleTolerantKinds.includes(kind) ? STALE_TOLERANT_MAX_AGE_MS : getMaxAgeMs())) {
      setFollowing(true, 'the host sends changes');
      lastAnswerMs.set(kind, readMonotonicMs());
      storeProbeMs = undefined;
      isDirect = false;
      return true;
    }
    if (isFollower()) {
      probeStoreWhenDue(kind);
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
  const applyAnswer = (kind: string, relayed: RelayedChanges, elapsedMs: number): void => {
    if (!checkAge(kind, relayed.ageMs + elapsedMs)) return;
    const { changes, revision } = relayed;
    const ages = addElapsed(relayed, elapsedMs);
    if (relayed.after === 0) {
      const objects = changes.flatMap(({ object, isRemoved }) => (isRemoved ? [] : [object]));
      takePending(pendingLists, kind)?.resolve({ kind: 'listed', objects, revision, ages });
    }
    const pending = pendingWatches.get(kind);
    // The request may have been sent before the watch began; its answer may then lack changes.
    if (pending === undefined || relayed.after > pending.after) return;
    takePending(pendingWatches, kind);
    pending.resolve({ kind: 'changes', changes, revision, ages });
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
      if (isKindAnswered(kind) || (isFollower() && isHostAnswering()))
        return waitForHost(pendingWatches, kind, after);
      return watchStore(
        kind,
        after,
        staleTolerantKinds.includes(kind) ? waitMs : Math.min(waitMs, getMaxWaitMs()),
      );
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
      for (const [kind, relayed] of answers) {
        if (relayed === undefined) takePending(pendingWatches, kind)?.resolve({ kind: 'compacted' });
        else applyAnswer(kind, relayed, elapsedMs);
      }
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
