import { createEarliestTimer, readMonotonicMs } from '@laburnumshift/clock';
import { MESSAGE_KINDS } from '@laburnumshift/host-channel';
import { decodeSuspects } from './decode-suspects.js';
import { encodeSuspects } from './encode-suspects.js';
import type { SuspectSharingOptions } from './suspect-sharing-options.js';

/** Delay after a change, milliseconds: the calls on a crashed server break off together. */
const BATCH_MS = 20;
/** Interval and duration of repeats of a change, milliseconds, as datagrams get lost. */
const REPEAT_INTERVAL_MS = 200;
const REPEAT_MS = 1000;
/** Interval at which convictions are repeated for hosts that have restarted or were cut off, milliseconds. */
const REFRESH_INTERVAL_MS = 1000;
/** Maximum number of suspects in one message; with one crash each they take about 3 KB. */
const MAX_SUSPECTS_PER_MESSAGE = 32;

/**
 * Exchanges suspects with other hosts. In small fleets each host sends its changes to all others. In large fleets a host sends them to the
 * relays of its failure domain, and relays pass on all changes to the relays of the others and to the hosts of their own.
 *
 * @returns a function that stops the exchange
 */
export function startSuspectSharing(options: SuspectSharingOptions): () => void {
  const { self, channel, table, listPeers, getPlan } = options;
  let changedAtMs = -Infinity;
  let refreshedAtMs = -Infinity;

  const listReceivers = (): string[] => {
    const { isRelay, reportTo, otherRelays } = getPlan();
    const domainPeers = isRelay
      ? listPeers().filter(({ failureDomain }) => failureDomain === self.failureDomain)
      : [];
    return [...new Set([...reportTo, ...otherRelays, ...domainPeers].map(({ address }) => address))];
  };
  const sendSuspects = (): void => {
    const now = readMonotonicMs();
    const { isRelayed, isRelay } = getPlan();
    const isRefresh = (!isRelayed || isRelay) && now - refreshedAtMs >= REFRESH_INTERVAL_MS;
    if (isRefresh) refreshedAtMs = now;
    const suspects = table.listSuspects(now - REPEAT_MS, isRefresh).slice(0, MAX_SUSPECTS_PER_MESSAGE);
    if (suspects.length > 0) channel.sendMessage(listReceivers(), encodeSuspects(self.host, suspects));
  };
  const timer = createEarliestTimer(() => {
    sendSuspects();
    if (readMonotonicMs() - changedAtMs < REPEAT_MS) timer.schedule(REPEAT_INTERVAL_MS);
    else if (table.countConvicted() > 0) timer.schedule(REFRESH_INTERVAL_MS);
  });
  table.watchChanges((isOwn) => {
    if (isOwn || getPlan().isRelay) {
      changedAtMs = readMonotonicMs();
      timer.schedule(BATCH_MS);
    } else timer.schedule(REFRESH_INTERVAL_MS);
  });
  channel.handleMessages(MESSAGE_KINDS.crashSuspects, (message, from) => {
    const decoded = decodeSuspects(message);
    if (decoded === undefined) return false;
    const isRegistered = listPeers().some(({ host, address }) => host === decoded.host && address === from);
    if (isRegistered) table.mergeSuspects(decoded.suspects);
    return isRegistered;
  });
  return timer.close;
}
