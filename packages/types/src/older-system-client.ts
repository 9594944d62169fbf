import type { CallAnswer } from './call-answer.js';
import type { CallRequest } from './call-request.js';
import type { EngineStreamItem } from './engine-stream-item.js';
import type { PeerError } from './peer-error.js';
import type { Result } from './result.js';
import type { StreamLimits } from './stream-limits.js';

/** The client of the older system. */
export interface OlderSystemClient {
  readonly sendCall: (call: CallRequest, timeoutMs: number) => Promise<Result<CallAnswer, PeerError>>;
  readonly streamCompletion: (
    body: Readonly<Record<string, unknown>>,
    requestId: string,
    limits: StreamLimits,
    signal: AbortSignal,
  ) => AsyncIterable<EngineStreamItem>;
  /** Asks whether the older system ever took this key; `undefined` when it never did. */
  readonly findOutcome: (key: string) => Promise<Result<CallAnswer | undefined, PeerError>>;
  readonly close: () => void;
}
