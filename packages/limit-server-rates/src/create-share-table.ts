import { readMonotonicMs } from '@laburnumshift/clock';
import { isPlacingHost } from './is-placing-host.js';
import type { LimitsMessage } from './limits-message.js';
import type { RateMeter } from './rate-meter.js';
import type { ServerLimitsOptions } from './server-limits-options.js';
import type { ShareTable } from './share-table.js';

/** Age up to which the rates of a host count, milliseconds: several periods of its messages, as datagrams get lost. */
const MAX_AGE_MS = 1500;
/** Time in which hosts that have not been heard of are expected to report, milliseconds. */
const LEARNING_MS = 1500;
/** Time for which a computed share is used, milliseconds: a placement asks for it once for each server. */
const SHARE_CACHE_MS = 50;
/** Rate that each host counts with at least, calls a second, so that a host without calls can send its first ones. */
const MIN_RATE = 0.2;

/** Creates a table without other hosts. */
export function createShareTable(
  { self, listPeers, getPlan }: Pick<ServerLimitsOptions, 'self' | 'listPeers' | 'getPlan'>,
  meter: Pick<RateMeter, 'getRate'>,
): ShareTable {
  const received = new Map<string, { readonly message: LimitsMessage; readonly atMs: number }>();
  const shares = new Map<string, { readonly share: number; readonly atMs: number }>();
  let placingHosts = { count: 1, atMs: -Infinity };
  let learningUntilMs = -Infinity;

  const listPlacing = (): readonly LimitsMessage[] => {
    const since = readMonotonicMs() - MAX_AGE_MS;
    for (const [host, { atMs }] of received) if (atMs < since) received.delete(host);
    return [...received.values()].map(({ message }) => message).filter(([, , isPlacing]) => isPlacing);
  };
  /** Counts the hosts that place calls and have not been heard of while their first messages are expected. */
  const countUnheard = (heard: readonly LimitsMessage[]): number => {
    if (readMonotonicMs() >= learningUntilMs) return 0;
    const peers = listPeers();
    if (!getPlan().isRelayed) return Math.max(0, peers.length - heard.length);
    const domains = new Set([self, ...peers].map(({ failureDomain }) => failureDomain));
    return Math.max(0, domains.size - 1 - heard.length);
  };

  const computeShareNow = (service: string): number => {
    if (!isPlacingHost(getPlan())) return 1 / (listPeers().length + 1);
    const heard = listPlacing();
    const own = meter.getRate(service) + MIN_RATE;
    const others = heard.map(
      ([, , , , rates]) => MIN_RATE + (rates.find(([name]) => name === service)?.[1] ?? 0),
    );
    return own / others.reduce((sum, rate) => sum + rate, own * (1 + countUnheard(heard)));
  };

  return {
    addMessage: (message) => {
      received.set(message[1], { message, atMs: readMonotonicMs() });
    },
    startLearning: () => {
      learningUntilMs = readMonotonicMs() + LEARNING_MS;
      shares.clear();
    },
    computeShare: (service) => {
      const now = readMonotonicMs();
      const known = shares.get(service);
      if (known !== undefined && now - known.atMs < SHARE_CACHE_MS) return known.share;
      const share = computeShareNow(service);
      shares.set(service, { share, atMs: now });
      return share;
    },
    countPlacingHosts: () => {
      const now = readMonotonicMs();
      if (now - placingHosts.atMs >= SHARE_CACHE_MS) {
        const heard = listPlacing();
        placingHosts = { count: 1 + heard.length + countUnheard(heard), atMs: now };
      }
      return placingHosts.count;
    },
  };
}
