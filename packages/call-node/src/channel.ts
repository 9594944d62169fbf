import type { Frame } from './frame.js';

/** A WebSocket as a sequence of frames. */
export interface Channel {
  /** Sends a frame; the result says why nothing was sent. */
  readonly send: (frame: Frame) => 'sent' | 'queue-full' | 'too-large' | 'closed';
  /** The next frame; `undefined` after the end of the channel. */
  readonly next: () => Promise<Frame | undefined>;
  readonly ping: () => void;
  /** Milliseconds since the last incoming bytes. */
  readonly getSilenceMs: () => number;
  /** Ends the channel at once. */
  readonly end: (reason: string) => void;
  readonly getEndReason: () => string | undefined;
}
