import type { AccountConfig, CallRequest } from '@laburnumshift/types';

/** A plain service call as a caller asked for it, authenticated. */
export interface CallerCall {
  readonly requestId: string;
  readonly account: AccountConfig;
  readonly service: string;
  readonly call: CallRequest;
  readonly idempotencyKey?: string | undefined;
  /** From `idempotency-issued-at`, milliseconds since the epoch. */
  readonly issuedAtMs?: number | undefined;
  /** Monotonic milliseconds of acceptance. */
  readonly acceptedAtMs: number;
}
