import type { AnswerHead } from './answer-head.js';
import type { BackendCall } from './backend-call.js';
import type { CallFault } from './call-fault.js';
import type { ForwardCall } from './forward-call.js';
import type { RawHead } from './raw-head.js';

/** Translates the header fields of callers and backend servers. Pure functions. */
export interface EdgeCodec {
  readonly decodeCall: (head: RawHead) => ForwardCall | CallFault;
  /** Header fields of the request: names and values in turn. */
  readonly encodeCall: (call: BackendCall) => string[];
  readonly decodeAnswer: (status: number, headers: readonly string[]) => AnswerHead;
  /** Header fields of an answer that the host makes itself. */
  readonly encodeRefusal: (callId: string | undefined, retryAfterMs: number | undefined) => string[];
}
