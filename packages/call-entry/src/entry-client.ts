import type { CompletionOutput } from './completion-output.js';
import type { EntryAnswer } from './entry-answer.js';

/** Calls of one client account to one entry node. Never rejects. */
export interface EntryClient {
  readonly complete: (request: {
    readonly service: string;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly requestId?: string | undefined;
    readonly conversation?: string | undefined;
    readonly offset?: number | undefined;
    readonly signal?: AbortSignal | undefined;
  }) => Promise<CompletionOutput>;
  readonly call: (request: {
    readonly service: string;
    readonly path: string;
    readonly method?: string | undefined;
    readonly body?: string | undefined;
    readonly key?: string | undefined;
    readonly issuedAtMs?: number | undefined;
  }) => Promise<EntryAnswer>;
  readonly findOutcome: (service: string, key: string) => Promise<EntryAnswer>;
  readonly close: () => void;
}
