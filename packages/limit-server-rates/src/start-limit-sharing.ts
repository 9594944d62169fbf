import { createEarliestTimer, readMonotonicMs } from '@laburnumshift/clock';
import { MESSAGE_KINDS } from '@laburnumshift/host-channel';
import { decodeLimitsMessage } from './decode-limits-message.js';
import { isPlacingHost } from './is-placing-host.js';
import type { LimitSharing } from './limit-sharing.js';
import type { LimitTable } from './limit-table.js';
import type { LimitsMessage } from './limits-message.js';
import type { RateMeter } from './rate-meter.js';
import type { ServerLimitsOptions } from './server-limits-options.js';
import type { ShareTable } from './share-table.js';

/** Delay of a message after a change, milliseconds: the answers of a server come together. */
const BATCH_MS = 20;
/** Interval between messages of hosts that place calls and of others, milliseconds. */
const PLACING_INTERVAL_MS = 250;
const OTHER_INTERVAL_MS = 1000;
/** Age up to which statements are sent, milliseconds: several intervals, as datagrams get lost. */
const MAX_STATEMENT_AGE_MS = 3000;
/** Interval at which all of them are sent, and time for which each message repeats a changed limit, milliseconds. */
const REFRESH_INTERVAL_MS = 1000;
/** Most statements in one message, about 60 bytes each. */
const MAX_STATEMENTS = 24;
/** Upper bound of the way of a message, milliseconds: a statement that is passed on never looks newer than it is. */
const MAX_TRANSIT_MS = 20;

/**
 * Exchanges limits and rates with other hosts while a limit is in force, and for a while after. In small fleets each host sends to all
 * others. In large fleets a host sends to the relays of its failure domain, and these to the relays of the others.
 */
export function startLimitSharing(
  options: ServerLimitsOptions,
  parts: { readonly limits: LimitTable; readonly shares: ShareTable; readonly meter: RateMeter },
  onReceived: (message: LimitsMessage) => void,
): LimitSharing {
  const { self, channel, listPeers, getPlan } = options;
  const { limits, meter } = parts;
  let refreshedMs = -Infinity;

  const sendLimits = (): boolean => {
    const now = readMonotonicMs();
    const isRefresh = now - refreshedMs >= REFRESH_INTERVAL_MS;
    if (isRefresh) refreshedMs = now;
    const statements = limits
      .listRecent(MAX_STATEMENT_AGE_MS, isRefresh ? Infinity : REFRESH_INTERVAL_MS)
      .slice(0, MAX_STATEMENTS);
    const isNeeded = statements.length > 0 || limits.countLimited() > 0;
    if (!isNeeded) return false;
    const plan = getPlan();
    const isPlacing = isPlacingHost(plan);
    const message = [
      MESSAGE_KINDS.serverLimits,
      self.host,
      isPlacing,
      statements.map(
        ({ server: { id, bornMs, service }, limitPerS, atMs }) =>
          [id, bornMs, service, limitPerS ?? null, Math.max(0, now - atMs)] as const,
      ),
      isPlacing
        ? limits.listLimitedServices().map((service) => [service, meter.getRate(service)] as const)
        : [],
    ] as const;
    const receivers = new Set([...plan.reportTo, ...plan.otherRelays].map(({ address }) => address));
    channel.sendMessage([...receivers], message satisfies LimitsMessage);
    return true;
  };
  const timer = createEarliestTimer(() => {
    if (sendLimits()) timer.schedule(isPlacingHost(getPlan()) ? PLACING_INTERVAL_MS : OTHER_INTERVAL_MS);
  });
  channel.handleMessages(MESSAGE_KINDS.serverLimits, (raw, from) => {
    const message = decodeLimitsMessage(raw);
    if (message === undefined) return false;
    const [, host] = message;
    if (!listPeers().some((peer) => peer.host === host && peer.address === from)) return false;
    parts.shares.addMessage(message);
    onReceived(message);
    return true;
  });
  return {
    /** Time of a statement that was received with this age, monotonic milliseconds. */
    computeStatedMs: (ageMs) => readMonotonicMs() - ageMs - MAX_TRANSIT_MS,
    sendSoon: () => {
      timer.schedule(BATCH_MS);
    },
    close: timer.close,
  };
}
