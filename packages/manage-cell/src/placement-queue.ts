import type { EnginePlacementReply, EnginePlacementRequest } from '@laburnumshift/types';

/** Admission queue of a home: accepts requests and replies with grants and refusals. */
export interface PlacementQueue {
  /** Places a request; replies `queued` when neither a grant nor a refusal is known within the request's `waitMs`. */
  readonly place: (request: EnginePlacementRequest) => Promise<EnginePlacementReply>;
  /** Grants the waiting requests that an engine can run now. */
  readonly grantWaiting: () => void;
  /**
   * Drops requests that their callers no longer repeat, refuses those that cannot meet their deadline or have no engine,
   * withdraws grants that nobody fetched, and releases runs whose report is overdue.
   */
  readonly expireWaiting: () => void;
  /** Counters of the admission queue by name. */
  readonly getCounts: () => Readonly<Record<string, number>>;
  /** Replies `queued` to all waiting requests and accepts no more. */
  readonly close: () => void;
}
