import type { StoreRecord } from './store-record.js';

const MS_PER_S = 1000;
/** The rate scale returns towards 1 by this part each second, so that a link that has recovered is tried again. */
const RECOVERY_PER_S = 0.02;

/** Estimates a store's link: usable, learned part of the stated rate, rate without the older system's share, and queue. */
export function estimateLink(
  record: StoreRecord,
  nowMs: number,
): {
  readonly usable: boolean;
  readonly rateScale: number;
  readonly bytesPerSecond: number;
  readonly queuedBytes: number;
  readonly queueMs: number;
} {
  const { stat, host } = record;
  const seconds = (nowMs - record.scaledAtMs) / MS_PER_S;
  const rateScale = 1 - (1 - record.rateScale) * (1 - RECOVERY_PER_S) ** seconds;
  const own = 1 - Math.min(Math.max(stat?.otherShare ?? 0, 0), 0.99);
  const bytesPerSecond = Math.max((stat?.linkBytesPerSecond ?? host.linkBytesPerSecond) * own * rateScale, 1);
  const sent = ((nowMs - record.queuedAtMs) / MS_PER_S) * bytesPerSecond;
  const queuedBytes = Math.max(0, record.queuedBytes - sent);
  return {
    usable: stat !== undefined && record.failures === 0 && nowMs >= record.backoffUntilMs,
    rateScale,
    bytesPerSecond,
    queuedBytes,
    queueMs: (queuedBytes / bytesPerSecond) * MS_PER_S,
  };
}
