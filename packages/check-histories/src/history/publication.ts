import type { PublishResult } from '@laburnumshift/publish-config';
import type { Interval } from './interval.js';

/** A publish or a rollback as its operator saw it. */
export interface Publication extends Interval {
  readonly operator: string;
  readonly result: PublishResult;
}
