import type { ResponseHead } from './response-head.js';
import type { BackendCall } from './backend-call.js';
import type { CallDecodeFailure } from './call-decode-failure.js';
import type { ForwardCall } from './forward-call.js';
import type { RequestHead } from './request-head.js';

/** Decodes and encodes the HTTP heads exchanged with callers and backend servers. Its functions are pure. */
export interface EdgeCodec {
  /** Decodes the head of a caller's request. */
  readonly decodeCall: (head: RequestHead) => ForwardCall | CallDecodeFailure;
  /** Encodes the header fields of the request to a backend server, names and values alternating. */
  readonly encodeCall: (call: BackendCall) => string[];
  /** Decodes the head of a backend server's answer; `headers` has names and values alternating. */
  readonly decodeAnswer: (status: number, headers: readonly string[]) => ResponseHead;
  /** Lists the weight versions that events of a stream name, one for each change of weights; `NaN` for one that cannot be read. */
  readonly decodeEventVersions: (events: Buffer) => number[];
  /** Encodes the header fields of an answer that the host produces itself, names and values alternating; `retryAfterMs` in milliseconds. */
  readonly encodeRefusal: (callId: string | undefined, retryAfterMs: number | undefined) => string[];
}
