import type { Priority } from '@laburnumshift/types';

/** Requests of one service. */
export interface TrafficClass {
  readonly service: string;
  readonly kind: 'completion' | 'call';
  readonly priority: Priority;
  /** Mean requests per second at the steady load, returns included. */
  readonly perSecond: number;
  /** Least and greatest number of full pieces of a first prompt. */
  readonly pieces: readonly [number, number];
  /** Leading pieces that all conversations of an account share, e.g. an archive. */
  readonly sharedPieces: number;
  /** Chance that a conversation returns after a request. */
  readonly returnChance: number;
  /** Median gap until the return, milliseconds. */
  readonly gapMs: number;
  readonly outputTokens: number;
  /** Plain calls only: path below the service; non-idempotent calls get a key. */
  readonly path?: string | undefined;
  readonly hasKey?: boolean | undefined;
}
