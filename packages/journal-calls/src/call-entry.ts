import type { CallResponse, ServingSystem } from '@laburnumshift/types';

/** State of one call, computed from its journal records. An abandoned call has no entry. */
export interface CallEntry {
  /** Hash of account, service and key, see `computeCallId`. */
  readonly id: string;
  readonly bodyHash: string;
  readonly attemptId: string;
  /** Host of the node that was permitted to dispatch the attempt. */
  readonly node: string;
  readonly incarnation: number;
  readonly system: ServingSystem;
  /** Wall-clock time of the `started` record, milliseconds since the epoch. */
  readonly at: number;
  readonly state: 'started' | 'finished' | 'unknown';
  /** Present in the state `finished`. */
  readonly answer?: CallResponse | undefined;
}
