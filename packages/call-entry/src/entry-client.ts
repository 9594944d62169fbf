import type { CompletionResult } from './completion-result.js';
import type { EntryCallResult } from './entry-call-result.js';

/** Client of one entry node with the API key of one account. Its promises never reject; failures are part of the results. */
export interface EntryClient {
  /** Runs a completion and collects its tokens, starting at `offset` (default 0). */
  readonly complete: (request: {
    readonly service: string;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly requestId?: string | undefined;
    readonly conversation?: string | undefined;
    readonly offset?: number | undefined;
    readonly signal?: AbortSignal | undefined;
  }) => Promise<CompletionResult>;
  /** Calls a plain service; the method defaults to POST. `key` is the idempotency key and `issuedAtMs` its timestamp. */
  readonly call: (request: {
    readonly service: string;
    readonly path: string;
    readonly method?: string | undefined;
    readonly body?: string | undefined;
    readonly key?: string | undefined;
    readonly issuedAtMs?: number | undefined;
  }) => Promise<EntryCallResult>;
  /** Reads the recorded outcome of a call by its idempotency key. */
  readonly findOutcome: (service: string, key: string) => Promise<EntryCallResult>;
  readonly close: () => void;
}
