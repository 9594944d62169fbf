/** Bits that a link of one megabit per second carries in a millisecond. */
const BITS_PER_MBPS_MS = 1000;
const BITS_PER_BYTE = 8;

/** Computes the time for which the KV cache of `tokens` occupies one link, milliseconds; infinite without a link. */
export function computeTransferMs(transfer: {
  readonly tokens: number;
  readonly bytesPerToken: number;
  readonly linkMbps: number;
}): number {
  const { tokens, bytesPerToken, linkMbps } = transfer;
  if (!(linkMbps > 0)) return Infinity;
  return (tokens * bytesPerToken * BITS_PER_BYTE) / (linkMbps * BITS_PER_MBPS_MS);
}
