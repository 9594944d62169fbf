import type { AccountConfig, CallRequest } from '@laburnumshift/types';

/** A plain service call of an authenticated caller. */
export interface AuthenticatedCall {
  readonly requestId: string;
  readonly account: AccountConfig;
  readonly service: string;
  readonly call: CallRequest;
  readonly idempotencyKey?: string | undefined;
  /** Value of the header `idempotency-issued-at`, milliseconds since the epoch. */
  readonly issuedAtMs?: number | undefined;
  /** Time of acceptance, monotonic milliseconds. */
  readonly acceptedAtMs: number;
}
