import type { CallerOperation } from './caller-operation.js';

/** A non-idempotent call as its caller saw it. */
export interface BookingOperation extends CallerOperation {
  readonly service: string;
  readonly body: string;
  /** Body of the answer; absent without one. */
  readonly answer?: string | undefined;
}
