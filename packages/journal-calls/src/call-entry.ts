import type { CallAnswer, System } from '@laburnumshift/types';

/** State of one call, from its records. An abandoned call has no entry. */
export interface CallEntry {
  readonly id: string;
  readonly bodyHash: string;
  readonly attemptId: string;
  readonly node: string;
  readonly incarnation: number;
  readonly system: System;
  readonly at: number;
  readonly state: 'started' | 'finished' | 'unknown';
  readonly answer?: CallAnswer | undefined;
}
