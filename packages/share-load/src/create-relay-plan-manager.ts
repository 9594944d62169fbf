import { readMonotonicMs } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { chooseRelays } from './choose-relays.js';
import type { PeerHost } from './peer-host.js';
import type { RelayPlanManager } from './relay-plan-manager.js';
import type { RelayPlan } from './relay-plan.js';

/** The followed relay is excluded after this time without a message, milliseconds. It sends two messages in this time. */
const UPSTREAM_TIMEOUT_MS = 1000;
/** Any other relay that gets reports of this host is excluded after this time without a message, milliseconds. */
const STANDBY_TIMEOUT_MS = 3500;
/** A relay that did not answer a placement request is excluded after this time without a message, milliseconds. */
const UNANSWERED_REQUEST_TIMEOUT_MS = 500;
/**
 * Time for which a relay is excluded unless a message of it comes, milliseconds. It is long because hosts that are gone stay registered.
 */
const SUSPICION_TTL_MS = 20_000;

/**
 * Creates the manager. The plan is computed again when `listPeers` returns another array and when a relay is excluded or readmitted.
 *
 * @param getLastReceivedMs time of the last message of a host, monotonic milliseconds; `-Infinity` when there was none
 */
export function createRelayPlanManager(
  self: PeerHost,
  listPeers: () => readonly PeerHost[],
  getLastReceivedMs: (host: string) => number,
): RelayPlanManager {
  const logger = createLogger('sharing');
  /** Time of the first report to each relay, monotonic milliseconds. */
  const firstReportMs = new Map<string, number>();
  /** End of the exclusion by host, monotonic milliseconds. */
  const suspectUntilMs = new Map<string, number>();
  let plan: RelayPlan | undefined;
  let planPeers: readonly PeerHost[] | undefined;
  /** The plan is valid until the exclusion of a relay ends. */
  let planExpiresMs = -Infinity;

  const getPlan = (): RelayPlan => {
    const now = readMonotonicMs();
    const peers = listPeers();
    if (plan !== undefined && peers === planPeers && now < planExpiresMs) return plan;
    for (const [host, untilMs] of suspectUntilMs) if (untilMs <= now) suspectUntilMs.delete(host);
    planExpiresMs = Math.min(Infinity, ...suspectUntilMs.values());
    planPeers = peers;
    plan = chooseRelays(self, peers, (host) => suspectUntilMs.has(host));
    return plan;
  };
  const markSuspect = (host: string, silentMs: number): void => {
    logger.warn('relay does not answer', { host, silentMs: Math.round(silentMs) });
    suspectUntilMs.set(host, readMonotonicMs() + SUSPICION_TTL_MS);
    firstReportMs.delete(host);
    plan = undefined;
  };
  return {
    getPlan,
    checkRelays: (relays) => {
      const now = readMonotonicMs();
      const upstreamHost = getPlan().upstream?.host;
      for (const { host } of relays) {
        const silentSinceMs = Math.max(firstReportMs.get(host) ?? now, getLastReceivedMs(host));
        if (!firstReportMs.has(host)) firstReportMs.set(host, now);
        const limitMs = host === upstreamHost ? UPSTREAM_TIMEOUT_MS : STANDBY_TIMEOUT_MS;
        if (now - silentSinceMs > limitMs) markSuspect(host, now - silentSinceMs);
      }
    },
    markRelaySuspect: (host) => {
      const silentMs = readMonotonicMs() - getLastReceivedMs(host);
      if (silentMs > UNANSWERED_REQUEST_TIMEOUT_MS && !suspectUntilMs.has(host)) markSuspect(host, silentMs);
    },
    clearSuspicion: (host) => {
      if (!suspectUntilMs.delete(host)) return;
      logger.info('relay answers again', { host });
      plan = undefined;
    },
  };
}
