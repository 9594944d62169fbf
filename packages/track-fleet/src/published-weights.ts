import type { Moment } from '@laburnumshift/clock';
import type { WeightVersion } from '@laburnumshift/forward-types';

/** A published weight version of a model, and when it was published as far as this host knows. */
export interface PublishedWeights extends WeightVersion {
  /** When this host received the version. */
  readonly learnedAt: Moment;
  /** Lower bound of the time of publication; earlier than `learnedAt` when the store could not be read in between. */
  readonly earliestPublishedAt: Moment;
  /** The version was in the first list of this process, so it may have been published at any earlier time. */
  readonly isInitial: boolean;
}
