import type { Frame } from './frame.js';

/** Replies to the requests of one peer, so that a request that is asked twice runs once. */
export interface ReplyCache {
  /** The reply of a request: runs it at the first time, and finds the same reply at any later time. */
  readonly findReply: (request: Frame, run: () => Promise<Frame>) => Promise<Frame>;
  readonly countRunning: () => number;
  /** Milliseconds since the last request. */
  readonly getIdleMs: () => number;
}
