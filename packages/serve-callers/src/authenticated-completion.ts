import type { AccountConfig } from '@laburnumshift/types';

/** A completion request of an authenticated caller whose body matches the schema. */
export interface AuthenticatedCompletion {
  readonly requestId: string;
  /** True when the caller chose the request id, so that a resend can attach to the run. */
  readonly hasCallerId: boolean;
  readonly account: AccountConfig;
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly conversation?: string | undefined;
  /** Offset of the first output token to send. */
  readonly startOffset: number;
  /** SHA-256 hash of the fields that determine the output, 64 hexadecimal digits. */
  readonly bodyHash: string;
  /** Time of acceptance, monotonic milliseconds. */
  readonly acceptedAtMs: number;
}
