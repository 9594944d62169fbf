import type { AdmissionEntry } from './admission-entry.js';
import type { AdmissionRefusal } from './admission-refusal.js';

/** The queue of requests that wait for a slot. Times are milliseconds of one monotonic clock, given by the caller. */
export interface AdmissionQueue {
  /** Queues an entry, or refuses it at once. An entry that is queued already only counts as asked about. */
  readonly addEntry: (entry: AdmissionEntry, nowMs: number) => AdmissionRefusal | undefined;
  /** Records that the caller still waits; false when the entry is not queued. */
  readonly markAsked: (requestId: string, nowMs: number) => boolean;
  /**
   * Takes the next entry that may run.
   *
   * @param slots free slots; the reserved ones are for urgent entries only
   * @param canRun skips entries that no free slot suits; they keep their position
   */
  readonly takeNext: (
    nowMs: number,
    slots: { readonly free: number; readonly reserved: number },
    canRun?: (entry: AdmissionEntry) => boolean,
  ) => AdmissionEntry | undefined;
  readonly cancelEntry: (requestId: string) => boolean;
  /** Removes and returns entries that nobody asked about. */
  readonly dropExpired: (nowMs: number) => readonly AdmissionEntry[];
  /** Removes the entries that can no longer meet their deadline and tells when to retry. */
  readonly refuseLate: (nowMs: number) => readonly AdmissionRefusal[];
  /** Entries served before this one by priority and arrival; `undefined` when it is not queued. */
  readonly getPosition: (requestId: string) => number | undefined;
  /** Estimated milliseconds until an entry with these properties would be admitted. */
  readonly estimateWaitMs: (
    entry: Pick<AdmissionEntry, 'account' | 'accountWeight' | 'priority' | 'tokens'>,
    nowMs: number,
  ) => number;
  readonly getCounts: () => Readonly<Record<string, number>>;
}
