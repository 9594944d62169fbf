import { readMonotonicMs, startTimer } from '@laburnumshift/clock';
import type { BackendEntry, ObjectChange } from '@laburnumshift/forward-types';
import { createLogger } from '@laburnumshift/logger';
import type { Evacuations } from './evacuations.js';
import type { EvacuationsOptions } from './evacuations-options.js';

/**
 * Time after an outage or a restore of the store until a missing evacuation is over, milliseconds: the operator writes again what the
 * copy lacks within this time.
 */
const REWRITE_MS = 2000;
/** Most ended evacuations recorded: many times the failure domains of a deployment. */
const MAX_ENDED = 256;
/** Most names in one log line; a store may have many objects that name no failure domain. */
const MAX_LOGGED_NAMES = 12;

/** Creates the evacuations of a host, without any. The name of an object is the failure domain; its content does not matter. */
export function trackEvacuations({
  onChange,
  listDomains,
  getMsSinceRecovery,
}: EvacuationsOptions): Evacuations {
  const logger = createLogger('fleet');
  const evacuated = new Set<string>();
  /** When evacuations ended, by failure domain, monotonic milliseconds. */
  const ended = new Map<string, number>();
  /** Stops the timers of removals that are not believed yet, by failure domain. */
  const pendingRemovals = new Map<string, () => void>();
  /** The logged evacuations, and whether their failure domains had servers then. */
  const reported = new Map<string, boolean>();
  let isAllReported = false;

  const cancelRemoval = (domain: string): void => {
    pendingRemovals.get(domain)?.();
    pendingRemovals.delete(domain);
  };
  const reportNames = (message: string, names: readonly string[]): void => {
    if (names.length === 0) return;
    logger.warn(message, { count: names.length, failureDomains: names.slice(0, MAX_LOGGED_NAMES) });
  };
  const reportDomains = (): void => {
    const domains = listDomains();
    // The first list of servers may follow that of the evacuations.
    if (domains.size === 0) return;
    const unreported = [...evacuated].filter((domain) => reported.get(domain) !== domains.has(domain));
    for (const domain of unreported) reported.set(domain, domains.has(domain));
    reportNames(
      'failure domains evacuated',
      unreported.filter((domain) => domains.has(domain)),
    );
    reportNames(
      'evacuations of failure domains without servers',
      unreported.filter((domain) => !domains.has(domain)),
    );
    const isAll = [...domains].every((domain) => evacuated.has(domain));
    if (isAll && !isAllReported)
      logger.error('all failure domains are evacuated; calls are refused', { failureDomains: [...domains] });
    isAllReported = isAll;
  };
  const beginEvacuation = (domain: string): void => {
    cancelRemoval(domain);
    if (evacuated.has(domain)) return;
    evacuated.add(domain);
    ended.delete(domain);
    onChange(domain);
  };
  const finishEvacuation = (domain: string): void => {
    cancelRemoval(domain);
    if (!evacuated.delete(domain)) return;
    reported.delete(domain);
    ended.delete(domain);
    ended.set(domain, readMonotonicMs());
    const [oldest] = ended.size > MAX_ENDED ? ended.keys() : [];
    if (oldest !== undefined) ended.delete(oldest);
    logger.info('evacuation ended', { failureDomain: domain });
    onChange(domain);
    reportDomains();
  };
  const handleRemoval = (domain: string): void => {
    const graceMs = REWRITE_MS - getMsSinceRecovery();
    if (graceMs <= 0) {
      finishEvacuation(domain);
      return;
    }
    cancelRemoval(domain);
    pendingRemovals.set(
      domain,
      startTimer(graceMs, () => {
        finishEvacuation(domain);
      }),
    );
  };

  return {
    applyChanges: (changes: readonly ObjectChange[]) => {
      for (const { isRemoved, object } of changes) {
        if (isRemoved) handleRemoval(object.name);
        else beginEvacuation(object.name);
      }
      reportDomains();
    },
    markEntry: (entry: BackendEntry) => {
      const readmittedMs = ended.get(entry.failureDomain);
      const isEvacuated = evacuated.has(entry.failureDomain);
      if (!isEvacuated && readmittedMs === undefined) return entry;
      return { ...entry, isEvacuated, ...(readmittedMs !== undefined && { readmittedMs }) };
    },
    reportDomains,
    close: () => {
      for (const stopTimer of pendingRemovals.values()) stopTimer();
    },
  };
}
