import type { Moment } from '@laburnumshift/clock';
import type { WeightVersion } from '@laburnumshift/forward-types';

/** The newest weights of a model and when this host learned of them. */
export interface NamedWeights extends WeightVersion {
  readonly learned: Moment;
  /** They were named no earlier than this; before `learned` when the store could not be asked meanwhile. */
  readonly earliest: Moment;
  /** True when the version was there before this process started to watch. */
  readonly isInitial: boolean;
}
