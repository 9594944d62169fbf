import type { ReservationTable } from '@laburnumshift/ask-home';
import type { CostEstimator } from '@laburnumshift/estimate-cost';
import type { Metrics } from '@laburnumshift/record-metrics';
import type { ResendBudget } from '@laburnumshift/limit-resends';

/** Dependencies of call placement that other components of the host use too. */
export interface PlacementDependencies {
  readonly metrics: Pick<Metrics, 'addToCounter'>;
  readonly reservations: ReservationTable;
  readonly costs: Pick<CostEstimator, 'getServiceMs'>;
  /** Budget for resending this host's own calls. */
  readonly resends: Pick<ResendBudget, 'takeResend'>;
  /** Budget for resending the calls that this host places as a home host. */
  readonly homeResends: ResendBudget;
}
