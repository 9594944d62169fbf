import type { AccountConfig, CallRequest } from '@laburnumshift/types';

/** One plain service call as accepted from a caller. */
export interface CallJob {
  readonly requestId: string;
  readonly account: AccountConfig;
  readonly service: string;
  readonly call: CallRequest;
  readonly idempotencyKey?: string | undefined;
  /** Time that the caller gives for a key that carries none, milliseconds since the epoch. */
  readonly issuedAtMs?: number | undefined;
  /** Monotonic milliseconds of acceptance; the service's deadline counts from here. */
  readonly acceptedAtMs: number;
}
