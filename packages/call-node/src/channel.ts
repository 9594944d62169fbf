import type { Frame } from './frame.js';

/** A WebSocket connection that carries frames. */
export interface Channel {
  /** Queues a frame for sending; any result but `sent` is the reason why the frame was not queued. */
  readonly send: (frame: Frame) => 'sent' | 'queue-full' | 'too-large' | 'closed';
  /** Returns the next frame, or `undefined` after the channel has ended. Only one call may wait at a time. */
  readonly next: () => Promise<Frame | undefined>;
  readonly ping: () => void;
  /** Milliseconds since the last message, ping or pong was received. */
  readonly getSilenceMs: () => number;
  /** Ends the channel without a closing handshake. The first reason is kept. */
  readonly end: (reason: string) => void;
  /** `undefined` while the channel is open. */
  readonly getEndReason: () => string | undefined;
}
