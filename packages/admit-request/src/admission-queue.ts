import type { AdmissionEntry } from './admission-entry.js';
import type { AdmissionRefusal } from './admission-refusal.js';

/** A queue of requests that wait for a free slot. All times are milliseconds of one monotonic clock that the caller reads. */
export interface AdmissionQueue {
  /**
   * Queues an entry. When the entry is queued already, only the time of its last poll is updated.
   *
   * @returns the refusal, or `undefined` when the entry is queued
   */
  readonly addEntry: (entry: AdmissionEntry, nowMs: number) => AdmissionRefusal | undefined;
  /** Records that the caller polled and so still waits; returns false when the entry is not queued. */
  readonly recordPoll: (requestId: string, nowMs: number) => boolean;
  /**
   * Removes and returns the next entry that may run, or `undefined` when there is none.
   *
   * @param slots the number of free slots and how many of them are reserved for urgent entries
   * @param canRun returns false for an entry that no free slot suits; the entry is skipped and keeps its position
   */
  readonly takeNext: (
    nowMs: number,
    slots: { readonly free: number; readonly reserved: number },
    canRun?: (entry: AdmissionEntry) => boolean,
  ) => AdmissionEntry | undefined;
  /** Removes an entry; returns false when it is not queued. */
  readonly cancelEntry: (requestId: string) => boolean;
  /** Removes and returns the entries whose caller has not polled within the time limit. */
  readonly removeExpired: (nowMs: number) => readonly AdmissionEntry[];
  /** Removes the entries that can no longer meet their deadline and returns a refusal for each. */
  readonly refuseUnreachable: (nowMs: number) => readonly AdmissionRefusal[];
  /** Number of entries ahead of this one by priority, then by arrival; `undefined` when it is not queued. */
  readonly getPosition: (requestId: string) => number | undefined;
  /** Estimates the milliseconds until an entry with these properties, arriving now, would be admitted. */
  readonly estimateWaitMs: (
    entry: Pick<AdmissionEntry, 'account' | 'accountWeight' | 'priority' | 'tokens'>,
    nowMs: number,
  ) => number;
  /** Totals since creation by name, and `waiting`, the number of queued entries. */
  readonly getCounts: () => Readonly<Record<string, number>>;
}
