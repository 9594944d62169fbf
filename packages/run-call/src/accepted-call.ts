import type { AccountConfig, CallRequest } from '@laburnumshift/types';

/** A plain service call that was accepted from a caller. */
export interface AcceptedCall {
  readonly requestId: string;
  readonly account: AccountConfig;
  readonly service: string;
  readonly call: CallRequest;
  readonly idempotencyKey?: string | undefined;
  /** Time of issue that the caller states for a key without a timestamp of its own, milliseconds since the epoch. */
  readonly issuedAtMs?: number | undefined;
  /** Time of acceptance, monotonic milliseconds; the deadline of the service counts from it. */
  readonly acceptedAtMs: number;
}
