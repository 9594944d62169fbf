import type { AccountConfig } from '@laburnumshift/types';

/** A completion as a caller asked for it, authenticated and checked for form. */
export interface CallerCompletion {
  readonly requestId: string;
  /** True when the caller chose the id, so that a resend may attach to the run. */
  readonly named: boolean;
  readonly account: AccountConfig;
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly conversation?: string | undefined;
  /** First output token wanted. */
  readonly startOffset: number;
  /** SHA-256 of all fields that change the answer, 64 hexadecimal digits. */
  readonly bodyHash: string;
  /** Monotonic milliseconds of acceptance. */
  readonly acceptedAtMs: number;
}
