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
 * Time after which a follower confirms a copy at the store itself, beyond the age at which the copy of its relay counts as old: the
 * interval between two messages of the relay, in which the copy ages without a fault, milliseconds.
 */
const CONFIRM_MARGIN_MS = 300;
/** Random part of that time, milliseconds, as all followers notice at once. The bound on applying a configuration leaves no more. */
const CONFIRM_SPREAD_MS = 200;
/** Random delay after a failed call, milliseconds: the store is then probably down for all hosts, and each call to it has a cost. */
const MIN_RETRY_DELAY_MS = 2000;
const MAX_RETRY_DELAY_MS = 6000;

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
  /** When a follower confirms its copy of a kind at the store unless the followed host does so before, monotonic milliseconds. */
  const confirmDueMs = new Map<string, number>();
  let stopConfirmTimer = (): void => undefined;
  let isFollowing = false;
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
        if (!isFollower() || !isHostAnswering()) stopFollowing('no answer of the host');
        else {
          ensureConfirmation(kind);
          waitAgain(kind);
        }
      });
      waiting.set(kind, { after, resolve, stopTimer });
    });
  const isHostAnswering = (): boolean => kinds.some(isKindAnswered);
  /** Asks the store for changes without waiting when the circuit breaker admits it; returns `undefined` without an answer. */
  const callProbe = async (kind: string): Promise<WatchOutcome | undefined> => {
    const after = lastRevisions.get(kind);
    if (after === undefined || !breaker.admitCall()) return undefined;
    const sentMs = readMonotonicMs();
    const outcome = await source.watchChanges(kind, after, CONFIRM_WAIT_MS);
    if (isLocal(outcome)) {
      // The next probe is a list, which calls the store.
      lastRevisions.delete(kind);
      breaker.cancelProbe();
      return undefined;
    }
    breaker.recordOutcome(outcome.kind !== 'unavailable', sentMs);
    return outcome.kind === 'unavailable' ? undefined : outcome;
  };
  const waitAgain = (kind: string): void => {
    const watch = takePending(pendingWatches, kind);
    if (watch !== undefined) void waitForHost(pendingWatches, kind, watch.after).then(watch.resolve);
    const list = takePending(pendingLists, kind);
    if (list !== undefined) void waitForHost(pendingLists, kind, list.after).then(list.resolve);
  };
  const setConfirmation = (kind: string, delayMs: number): void => {
    confirmDueMs.set(kind, readMonotonicMs() + delayMs);
    stopConfirmTimer();
    const nextMs = Math.min(...confirmDueMs.values()) - readMonotonicMs();
    stopConfirmTimer = startTimer(Math.max(0, nextMs), () => {
      void confirmDueKinds();
    });
  };
  /** Schedules the confirmation of a copy that is `ageMs` old now. */
  const scheduleConfirmation = (kind: string, ageMs: number): void => {
    setConfirmation(kind, getMaxAgeMs() - ageMs + CONFIRM_MARGIN_MS + pickRandom() * CONFIRM_SPREAD_MS);
  };
  /** Schedules the confirmation of a kind that the followed host does not answer for, unless one is due already. */
  const ensureConfirmation = (kind: string): void => {
    if (!confirmDueMs.has(kind)) setConfirmation(kind, pickRandom() * CONFIRM_SPREAD_MS);
  };
  /** Confirms the copies at the store that the followed host has not confirmed in time. The first kind probes the store for the others. */
  const confirmDueKinds = async (): Promise<void> => {
    const now = readMonotonicMs();
    const dueKinds = [...confirmDueMs].filter(([, dueMs]) => dueMs <= now).map(([kind]) => kind);
    for (const kind of dueKinds)
      setConfirmation(kind, MIN_RETRY_DELAY_MS + pickRandom() * (MAX_RETRY_DELAY_MS - MIN_RETRY_DELAY_MS));
    // A host that starts needs all of its lists; the circuit breaker admits only one while the store is down.
    const listedKinds = dueKinds.filter((kind) => pendingLists.has(kind));
    for (const kind of listedKinds) sendToStore(kind);
    const [firstKind, ...otherKinds] = dueKinds;
    if (listedKinds.length > 0 || firstKind === undefined || !isFollower()) return;
    const after = pendingWatches.get(firstKind)?.after;
    const outcome = await callProbe(firstKind);
    if (outcome === undefined || !isFollower()) return;
    logger.info('the copy of the host is old; confirmed at the store', { kinds: dueKinds });
    for (const kind of dueKinds) scheduleConfirmation(kind, 0);
    if (pendingWatches.get(firstKind)?.after === after)
      takePending(pendingWatches, firstKind)?.resolve(outcome);
    for (const kind of otherKinds) sendToStore(kind);
  };
  /** Checks the age of the other host's copy; returns false when it is too old to be followed. */
  const checkAge = (kind: string, ageMs: number): boolean => {
    const isStaleTolerant = staleTolerantKinds.includes(kind);
    if (ageMs <= (isStaleTolerant ? STALE_TOLERANT_MAX_AGE_MS : getMaxAgeMs())) {
      setFollowing(true, 'the host sends changes');
      lastAnswerMs.set(kind, readMonotonicMs());
      // An old copy of a kind that tolerates it says nothing about the host's way to the store.
      if (isFollower() && !isStaleTolerant) scheduleConfirmation(kind, ageMs);
      return true;
    }
    if (isFollower()) {
      ensureConfirmation(kind);
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
      if (kind !== undefined && (await callProbe(kind)) !== undefined)
        stopFollowing('the store answers again');
    },
  };
}
