import type { MemoryReservations } from './memory-reservations.js';
import type { PlacementQueueOptions } from './placement-queue-options.js';
import type { QueueWaitEstimator } from './queue-wait-estimator.js';
import type { RetrySchedule } from './retry-schedule.js';
import type { ReturnOrders } from './return-orders.js';

/** What the decision of a placement request asks for and records. To explain a decision, functions that change nothing replace them. */
export interface QueueEffects extends Pick<PlacementQueueOptions, 'chooseServer' | 'takeResend'> {
  readonly getWaitEstimator: (
    service: string,
  ) => Pick<QueueWaitEstimator, 'estimateWaitMs' | 'hasRate' | 'scheduleRetry'>;
  readonly scheduleRoomRetry: RetrySchedule['scheduleRetry'];
  readonly reserveEngine: MemoryReservations['reserveEngine'];
  readonly addOrder: ReturnOrders['addOrder'];
  readonly recordPlacement: (request: Parameters<ReturnOrders['addOrder']>[0]) => void;
}
