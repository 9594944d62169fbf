import { estimateLink } from './estimate-link.js';
import type { StoreRecord } from './store-record.js';

/** Puts a transfer on a store's link queue. */
export function addLinkBytes(record: StoreRecord, bytes: number, nowMs: number): void {
  record.queuedBytes = estimateLink(record, nowMs).queuedBytes + bytes;
  record.queuedAtMs = nowMs;
}
