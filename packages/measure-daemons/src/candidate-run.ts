import type { RequestTrace } from '@laburnumshift/types';
import type { RequestRecord } from './request-record.js';
import type { RunFigures } from './run-figures.js';

/** One run of a workload against one candidate. */
export interface CandidateRun<T> {
  readonly figures: RunFigures;
  readonly records: readonly RequestRecord[];
  /** Traces of the slowest interactive requests, from `/explain`. */
  readonly slowest: readonly {
    readonly firstTokenMs: number | undefined;
    readonly traces: readonly RequestTrace[];
  }[];
  /** What the disturbance returned. */
  readonly disturbed: T;
}
