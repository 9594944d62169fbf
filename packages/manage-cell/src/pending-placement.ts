import type { PlaceReply, PlaceRequest } from '@laburnumshift/types';

/** A request that was asked for and not answered for good. */
export interface PendingPlacement {
  request: PlaceRequest;
  readonly deadlineAtMs: number;
  /** Callers that wait now; only then a grant can be handed out. */
  waiters: number;
  reply: PlaceReply | undefined;
  replyAtMs: number;
  /** Since when no engine could run it; `undefined` while one can. */
  noEngineSinceMs: number | undefined;
  readonly answer: Promise<PlaceReply>;
  readonly resolve: (reply: PlaceReply) => void;
}
