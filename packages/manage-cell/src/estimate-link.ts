import type { StoreRecord } from './store-record.js';

const MS_PER_S = 1000;
/** Part of its distance to 1 that the rate scale recovers each second, so that a recovered link is used again. */
const RATE_RECOVERY_PER_S = 0.02;

/**
 * Estimates the state of a store's network link.
 *
 * @returns `rateScale` is the observed rate divided by the stated rate, at most 1; `bytesPerSecond` is the rate available to
 * this cell, without the older system's share and at least 1; `queueMs` is the time to send `queuedBytes`
 */
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
  const seconds = (nowMs - record.rateScaleAtMs) / MS_PER_S;
  const rateScale = 1 - (1 - record.rateScale) * (1 - RATE_RECOVERY_PER_S) ** seconds;
  const ownShare = 1 - Math.min(Math.max(stat?.otherShare ?? 0, 0), 0.99);
  const bytesPerSecond = Math.max(
    (stat?.linkBytesPerSecond ?? host.linkBytesPerSecond) * ownShare * rateScale,
    1,
  );
  const sentBytes = ((nowMs - record.queuedAtMs) / MS_PER_S) * bytesPerSecond;
  const queuedBytes = Math.max(0, record.queuedBytes - sentBytes);
  return {
    usable: stat !== undefined && record.failures === 0 && nowMs >= record.backoffUntilMs,
    rateScale,
    bytesPerSecond,
    queuedBytes,
    queueMs: (queuedBytes / bytesPerSecond) * MS_PER_S,
  };
}
