import type { AccountConfig } from '@laburnumshift/types';

/** One completion as accepted from a caller. */
export interface CompletionJob {
  /** Names the request within the account. */
  readonly requestId: string;
  readonly account: AccountConfig;
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly conversation?: string | undefined;
  /** First output token wanted; earlier ones are not produced again. */
  readonly startOffset: number;
  /** Monotonic milliseconds of acceptance; the service's deadline counts from here. */
  readonly acceptedAtMs: number;
}
