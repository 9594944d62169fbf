import { estimateLink } from './estimate-link.js';
import type { StoreRecord } from './store-record.js';

/** Adds the bytes of a planned transfer to the estimated queue of a store's network link. */
export function addLinkBytes(record: StoreRecord, bytes: number, nowMs: number): void {
  record.queuedBytes = estimateLink(record, nowMs).queuedBytes + bytes;
  record.queuedAtMs = nowMs;
}
