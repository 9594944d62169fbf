import type { CallTrait } from './call-trait.js';

/** A call that lost its connection to a backend server before its answer was complete. */
export interface BrokenCall {
  readonly callId: string;
  readonly traits: readonly CallTrait[];
  /** The server had produced the answer for some time, so the call is not what crashed it. */
  readonly isExonerated: boolean;
}
