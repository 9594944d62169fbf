import type { EnginePlacementReply, EnginePlacementRequest } from '@laburnumshift/types';

/** A placement request whose final reply no caller has fetched yet. */
export interface PendingPlacement {
  request: EnginePlacementRequest;
  /** Monotonic deadline of the request, milliseconds. */
  readonly deadlineAtMs: number;
  /** Number of calls that wait for the reply now. A request is granted only while there is one. */
  waiters: number;
  /** Final reply, a grant or a refusal; `undefined` while the request waits. */
  reply: EnginePlacementReply | undefined;
  replyAtMs: number;
  /** Monotonic time since which no engine can run the request; `undefined` while one can. */
  noEngineSinceMs: number | undefined;
  /** Resolves to the final reply, or to `queued` when the home closes. */
  readonly answer: Promise<EnginePlacementReply>;
  readonly resolve: (reply: EnginePlacementReply) => void;
}
