import type { Frame } from './frame.js';

/** Replies to the requests of one peer process, so that a resent request runs once. */
export interface ReplyCache {
  /** Runs a request when its id is new; returns the cached reply when it was received before. */
  readonly findReply: (request: Frame, run: () => Promise<Frame>) => Promise<Frame>;
  /** Number of requests without a reply yet. */
  readonly countRunning: () => number;
  /** Milliseconds since the last request. */
  readonly getIdleMs: () => number;
}
