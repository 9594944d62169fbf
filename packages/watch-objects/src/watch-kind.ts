import {
  computeElapsedMs,
  computeMinElapsedMs,
  readMoment,
  moveMoment,
  sleep,
  startTimer,
  type Moment,
} from '@laburnumshift/clock';
import type {
  ChangeAges,
  ObjectChange,
  StoredObject,
  UnavailableOutcome,
} from '@laburnumshift/forward-types';
import { createLogger } from '@laburnumshift/logger';
import { splitRevision } from '@laburnumshift/order-revisions';
import { createChangeHistory } from './create-change-history.js';
import { diffObjects } from './diff-objects.js';
import type { ObjectCopy } from './object-copy.js';
import { RESTORED_STATES } from './restored-states.js';
import type { WatchOptions } from './watch-options.js';

/**
 * Delay after a failed call, milliseconds; doubles up to the maximum. A tenth of the usual time bound for applying a
 * configuration.
 */
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 400;
/**
 * The store answers a watch at once when there is a change. An answer this long after the end of its wait was delayed,
 * milliseconds.
 */
const LATE_ANSWER_MS = 300;
/**
 * Time after a restore of the store until objects that were removed before it and are present again are believed, milliseconds: entries of
 * servers that are gone expire in this time.
 */
const RESTORED_RELIST_MS = 5000;

/**
 * Keeps a copy of all objects of a kind: lists once, then watches for changes. When the store has compacted the history after the
 * last revision, it lists again. The copy stays readable while the store is unavailable; its age grows meanwhile.
 */
export function watchKind(options: WatchOptions): ObjectCopy {
  const { source, kind, waitMs, onChanges, minOutageMs = 0, maxReturnDelayMs = Infinity } = options;
  const { restorePolicy = {}, onRestored = () => undefined } = options;
  const logger = createLogger('watch');
  const objects = new Map<string, StoredObject>();
  const history = createChangeHistory(objects);
  const abortController = new AbortController();
  let lastConfirmed: Moment | undefined;
  let lastRecovery: Moment | undefined;
  /** Like `lastConfirmed`, without the answers of a restored store that may still lack changes. */
  let lastTrusted: Moment | undefined;
  let isChangedSinceRestore = true;
  let revision: number | undefined;
  let failures = 0;
  /** When the first call failed since the last answer. */
  let firstFailure: Moment | undefined;
  /** When the last failed call to the store was sent. */
  let lastFailure: Moment | undefined;
  /**
   * Whether the next list must not be stale: the history after the last list was compacted, and another stale list could repeat
   * that.
   */
  let isFreshListRequired = false;
  let changedSince = readMoment();
  /** Revision of the last answer, also while the objects are listed again; `undefined` before the first list. */
  let lastRevision: number | undefined;
  /** When the copy first followed the store after its last restore; `undefined` before any. */
  let restoredAt: Moment | undefined;
  /** Stops the timer of the list in which objects that were removed before the restore are believed. */
  let stopRelistTimer = (): void => undefined;
  /** Whether the objects have to be listed again although no change was missed. */
  let isListDue = false;
  /** Ends the pause after a failed call. */
  let finishPause = (): void => undefined;

  const computeMinSinceMs = (moment: Moment | undefined): number =>
    moment === undefined ? Infinity : computeMinElapsedMs(moment);
  const computeSinceMs = (moment: Moment | undefined): number =>
    moment === undefined ? Infinity : computeElapsedMs(moment);
  /** Takes over the revision of an answer; returns whether the store was restored since the last one. */
  const observeRevision = (next: number): boolean => {
    const before = lastRevision;
    lastRevision = next;
    revision = next;
    if (before === undefined) return false;
    const [eraBefore, era] = [before, next].map((answered) => splitRevision(answered).era);
    if (era === eraBefore) return false;
    restoredAt = readMoment();
    isChangedSinceRestore = false;
    history.addRestore(before, next);
    logger.warn('following the store after a restore', { kind, era, before: eraBefore });
    return true;
  };
  /** Returns the time for which answers do not confirm the copy yet, milliseconds; 0 or less when they do. */
  const computeUnconfirmedMs = (): number =>
    isChangedSinceRestore ? 0 : (restorePolicy.unconfirmedMs ?? 0) - computeMinSinceMs(lastRecovery);
  /** Trusts the last answer, unless the store was restored shortly before and no change came since. */
  const confirmCopy = (): void => {
    if (computeUnconfirmedMs() <= 0) lastTrusted = lastConfirmed;
  };
  const recordSuccess = (sent: Moment, isList: boolean, isRestored: boolean, ages?: ChangeAges): void => {
    if (failures > 0 || isList) changedSince = lastConfirmed ?? sent;
    else if (ages !== undefined) changedSince = moveMoment(readMoment(), -ages.changedMs);
    else changedSince = computeElapsedMs(sent) > waitMs + LATE_ANSWER_MS ? sent : readMoment();
    // A restore is an outage of any length: the entries of running servers may be missing until they register again.
    const isOutage = failures > 0 && computeSinceMs(firstFailure) >= minOutageMs;
    if (isOutage || (isRestored && ages === undefined)) {
      const returnMs = computeSinceMs(failures > 0 ? lastFailure : sent);
      lastRecovery = moveMoment(readMoment(), -Math.max(0, returnMs - maxReturnDelayMs));
    }
    if (ages !== undefined && ages.recoveredMs < computeSinceMs(lastRecovery))
      lastRecovery = moveMoment(readMoment(), -ages.recoveredMs);
    if (failures > 0) {
      firstFailure = undefined;
      logger.info('store answers again', { kind, failures, revision });
    }
    failures = 0;
    // An answer relayed by another host may be older than the last confirmation of this copy.
    if (ages === undefined) lastConfirmed = sent;
    else if (ages.ageMs < computeSinceMs(lastConfirmed))
      lastConfirmed = moveMoment(readMoment(), -ages.ageMs);
    confirmCopy();
  };
  const recordFailure = async (
    call: string,
    sent: Moment,
    { reason, failedMs }: UnavailableOutcome,
  ): Promise<void> => {
    failures += 1;
    firstFailure ??= readMoment();
    lastFailure = failedMs === undefined ? sent : moveMoment(readMoment(), -failedMs);
    // Logs failures 1, 2, 4, 8 and so on, so that an outage does not flood the log.
    if ((failures & (failures - 1)) === 0) logger.warn('store call failed', { kind, call, reason, failures });
    const pauseController = new AbortController();
    finishPause = () => {
      pauseController.abort();
    };
    await sleep(
      Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** (failures - 1)),
      AbortSignal.any([abortController.signal, pauseController.signal]),
    );
  };
  /** Applies the changes after the revision `from`. */
  const applyChanges = (changes: readonly ObjectChange[], from: number): void => {
    const newer = changes.filter(({ object, isRemoved }) => {
      const known = objects.get(object.name);
      // Another host may have answered an earlier request; an object that this copy lacks was removed since then.
      if (known === undefined) return restorePolicy.keepsMissing === true || object.revision > from;
      if (object.revision <= known.revision) return false;
      const isSameEra = splitRevision(object.revision).era === splitRevision(known.revision).era;
      return (
        isRemoved || isSameEra || restorePolicy.isOlder?.(object, known, RESTORED_STATES.changed) !== true
      );
    });
    for (const { isRemoved, object } of newer) {
      if (isRemoved) objects.delete(object.name);
      else objects.set(object.name, object);
    }
    history.addChanges(newer, changedSince);
    if (newer.length === 0) return;
    isChangedSinceRestore = true;
    confirmCopy();
    onChanges(newer);
  };
  /**
   * Drops the objects of a restored store that were removed before the restore, unless their state is newer than the removed one. Those
   * that are still there some time after the restore are believed.
   */
  const dropRemovedBefore = (listed: readonly StoredObject[], listedEra: number): readonly StoredObject[] => {
    const { isOlder } = restorePolicy;
    const believedInMs = RESTORED_RELIST_MS - computeMinSinceMs(restoredAt);
    if (isOlder === undefined || believedInMs <= 0) return listed;
    const kept = listed.filter((object) => {
      const removed = objects.has(object.name) ? undefined : history.getRemoved(object.name);
      const isRemovedBefore = removed !== undefined && splitRevision(removed.revision).era < listedEra;
      return !isRemovedBefore || !isOlder(object, removed, RESTORED_STATES.removed);
    });
    if (kept.length === listed.length) return listed;
    const names = listed.filter((object) => !kept.includes(object)).map(({ name }) => name);
    logger.info('objects that were removed before the restore are ignored', { kind, names });
    stopRelistTimer();
    stopRelistTimer = startTimer(believedInMs, () => {
      isListDue = true;
    });
    return kept;
  };
  const listOnce = async (): Promise<void> => {
    const sent = readMoment();
    const outcome = await source.listObjects(kind, options.isStaleAllowed === true && !isFreshListRequired);
    if (abortController.signal.aborted) return;
    if (outcome.kind === 'unavailable') return recordFailure('list', sent, outcome);
    const outcomeEra = splitRevision(outcome.revision).era;
    if (lastRevision !== undefined && outcomeEra < splitRevision(lastRevision).era)
      return recordFailure('list', sent, {
        kind: 'unavailable',
        reason: 'the list is older than the restore of the store',
      });
    const isRestored = observeRevision(outcome.revision);
    const listed = dropRemovedBefore(outcome.objects, outcomeEra);
    const changes = diffObjects(objects, listed, outcome.revision, restorePolicy);
    for (const { isRemoved, object } of changes) {
      if (isRemoved) objects.delete(object.name);
      else objects.set(object.name, object);
    }
    recordSuccess(sent, true, isRestored, outcome.ages);
    history.addListDifferences(changes, outcome.revision, changedSince);
    logger.info('listed', { kind, revision, count: objects.size, changes: changes.length });
    onChanges(changes);
    if (isRestored) onRestored();
  };
  const watchOnce = async (from: number): Promise<void> => {
    const sent = readMoment();
    // The first answer that confirms the copy again should not be late.
    const unconfirmedMs = computeUnconfirmedMs();
    const maxWaitMs = unconfirmedMs > 0 ? Math.min(waitMs, Math.ceil(unconfirmedMs)) : waitMs;
    const outcome = await source.watchChanges(kind, from, maxWaitMs);
    if (abortController.signal.aborted) return;
    if (outcome.kind === 'unavailable') return recordFailure('watch', sent, outcome);
    if (outcome.kind === 'compacted') {
      logger.warn('history was compacted; listing again', { kind, revision: from });
      revision = undefined;
      isFreshListRequired = true;
      return;
    }
    isFreshListRequired = false;
    const isRestored = observeRevision(Math.max(from, outcome.revision));
    recordSuccess(sent, false, isRestored, outcome.ages);
    applyChanges(outcome.changes, from);
    if (isRestored) onRestored();
    const gatherMs = outcome.changes.length > 0 ? (options.getBatchDelayMs?.() ?? 0) : 0;
    if (gatherMs > 0) await sleep(gatherMs, abortController.signal);
  };
  const runLoop = async (): Promise<void> => {
    while (!abortController.signal.aborted) {
      try {
        const isListing = revision === undefined || isListDue;
        isListDue = false;
        await (isListing || revision === undefined ? listOnce() : watchOnce(revision));
      } catch (error) {
        logger.error('watch failed', { kind, detail: String(error) });
        await sleep(MAX_RETRY_DELAY_MS, abortController.signal);
      }
    }
  };
  source.watchRestores?.(() => {
    finishPause();
  });
  void runLoop();

  return {
    objects,
    getAgeMs: () => computeSinceMs(lastTrusted),
    getMsSinceRecovery: () => computeSinceMs(lastRecovery),
    getChangedSince: () => changedSince,
    readState: () => {
      const newest = history.getNewestRevision();
      if (revision === undefined || newest === undefined) return undefined;
      const ages = { ageMs: computeSinceMs(lastConfirmed), recoveredMs: computeSinceMs(lastRecovery) };
      return { kind, revision, newest, ...ages };
    },
    readChangesSince: (after) => {
      const since = revision === undefined ? undefined : history.readSince(after);
      if (revision === undefined || since === undefined) return undefined;
      const recoveredMs = computeSinceMs(lastRecovery);
      return { ...since, after, revision, ageMs: computeSinceMs(lastConfirmed), recoveredMs };
    },
    close: () => {
      abortController.abort();
      stopRelistTimer();
    },
  };
}
