import { computeElapsedMs, readMoment, moveMoment, sleep, type Moment } from '@laburnumshift/clock';
import type {
  ChangeAges,
  ObjectChange,
  StoredObject,
  UnavailableOutcome,
} from '@laburnumshift/forward-types';
import { createLogger } from '@laburnumshift/logger';
import { createChangeHistory } from './create-change-history.js';
import { diffObjects } from './diff-objects.js';
import type { ObjectCopy } from './object-copy.js';
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
 * Keeps a copy of all objects of a kind: lists once, then watches for changes. When the store has compacted the history after the
 * last revision, it lists again. The copy stays readable while the store is unavailable; its age grows meanwhile.
 */
export function watchKind(options: WatchOptions): ObjectCopy {
  const { source, kind, waitMs, onChanges, minOutageMs = 0, maxReturnDelayMs = Infinity } = options;
  const logger = createLogger('watch');
  const objects = new Map<string, StoredObject>();
  const history = createChangeHistory(objects);
  const abortController = new AbortController();
  let lastConfirmed: Moment | undefined;
  let lastRecovery: Moment | undefined;
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

  const computeSinceMs = (moment: Moment | undefined): number =>
    moment === undefined ? Infinity : computeElapsedMs(moment);
  const recordSuccess = (sent: Moment, isList: boolean, ages?: ChangeAges): void => {
    if (failures > 0 || isList) changedSince = lastConfirmed ?? sent;
    else if (ages !== undefined) changedSince = moveMoment(readMoment(), -ages.changedMs);
    else changedSince = computeElapsedMs(sent) > waitMs + LATE_ANSWER_MS ? sent : readMoment();
    if (failures > 0) {
      if (computeSinceMs(firstFailure) >= minOutageMs)
        lastRecovery = moveMoment(readMoment(), -Math.max(0, computeSinceMs(lastFailure) - maxReturnDelayMs));
      firstFailure = undefined;
      logger.info('store answers again', { kind, failures, revision });
    } else if (ages !== undefined && ages.recoveredMs < computeSinceMs(lastRecovery))
      lastRecovery = moveMoment(readMoment(), -ages.recoveredMs);
    failures = 0;
    // An answer relayed by another host may be older than the last confirmation of this copy.
    if (ages === undefined) lastConfirmed = sent;
    else if (ages.ageMs < computeSinceMs(lastConfirmed))
      lastConfirmed = moveMoment(readMoment(), -ages.ageMs);
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
    await sleep(
      Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** (failures - 1)),
      abortController.signal,
    );
  };
  const applyChanges = (changes: readonly ObjectChange[]): void => {
    const newer = changes.filter(({ object }) => object.revision > (objects.get(object.name)?.revision ?? 0));
    for (const { isRemoved, object } of newer) {
      if (isRemoved) objects.delete(object.name);
      else objects.set(object.name, object);
    }
    history.addChanges(newer, changedSince);
    if (newer.length > 0) onChanges(newer);
  };
  const listOnce = async (): Promise<void> => {
    const sent = readMoment();
    const outcome = await source.listObjects(kind, options.isStaleAllowed === true && !isFreshListRequired);
    if (abortController.signal.aborted) return;
    if (outcome.kind === 'unavailable') return recordFailure('list', sent, outcome);
    const changes = diffObjects(objects, outcome.objects);
    for (const { isRemoved, object } of changes) {
      if (isRemoved) objects.delete(object.name);
      else objects.set(object.name, object);
    }
    revision = outcome.revision;
    recordSuccess(sent, true, outcome.ages);
    history.addListDifferences(changes, outcome.revision, changedSince);
    logger.info('listed', { kind, revision, count: objects.size, changes: changes.length });
    onChanges(changes);
  };
  const watchOnce = async (from: number): Promise<void> => {
    const sent = readMoment();
    const outcome = await source.watchChanges(kind, from, waitMs);
    if (abortController.signal.aborted) return;
    if (outcome.kind === 'unavailable') return recordFailure('watch', sent, outcome);
    if (outcome.kind === 'compacted') {
      logger.warn('history was compacted; listing again', { kind, revision: from });
      revision = undefined;
      isFreshListRequired = true;
      return;
    }
    isFreshListRequired = false;
    revision = Math.max(from, outcome.revision);
    recordSuccess(sent, false, outcome.ages);
    applyChanges(outcome.changes);
    const gatherMs = outcome.changes.length > 0 ? (options.getBatchDelayMs?.() ?? 0) : 0;
    if (gatherMs > 0) await sleep(gatherMs, abortController.signal);
  };
  const runLoop = async (): Promise<void> => {
    while (!abortController.signal.aborted) {
      try {
        await (revision === undefined ? listOnce() : watchOnce(revision));
      } catch (error) {
        logger.error('watch failed', { kind, detail: String(error) });
        await sleep(MAX_RETRY_DELAY_MS, abortController.signal);
      }
    }
  };
  void runLoop();

  return {
    objects,
    getAgeMs: () => computeSinceMs(lastConfirmed),
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
    },
  };
}
