import type { AccountConfig } from '@laburnumshift/types';

/** A completion request that was accepted from a caller. */
export interface AcceptedCompletion {
  /** Identifies the request within the account. */
  readonly requestId: string;
  readonly account: AccountConfig;
  readonly service: string;
  readonly prompt: string;
  /** Largest number of output tokens, counted from offset 0. */
  readonly maxTokens: number;
  readonly conversation?: string | undefined;
  /** Offset of the first output token to send; earlier ones are not produced again. */
  readonly startOffset: number;
  /** Time of acceptance, monotonic milliseconds; the deadline of the service counts from it. */
  readonly acceptedAtMs: number;
}
