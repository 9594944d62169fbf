import type { CallResponse } from './call-response.js';
import type { CallRequest } from './call-request.js';
import type { EngineStreamItem } from './engine-stream-item.js';
import type { PeerError } from './peer-error.js';
import type { Result } from './result.js';
import type { StreamTimeouts } from './stream-timeouts.js';

/** The client of the older system, which serves part of the traffic during the cutover. */
export interface OlderSystemClient {
  readonly sendCall: (call: CallRequest, timeoutMs: number) => Promise<Result<CallResponse, PeerError>>;
  readonly streamCompletion: (
    body: Readonly<Record<string, unknown>>,
    requestId: string,
    limits: StreamTimeouts,
    signal: AbortSignal,
  ) => AsyncIterable<EngineStreamItem>;
  /** Reads the answer that the older system recorded under an idempotency key; `undefined` when it never accepted the key. */
  readonly findOutcome: (key: string) => Promise<Result<CallResponse | undefined, PeerError>>;
  readonly close: () => void;
}
