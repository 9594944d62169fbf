import type { OrderStage } from './order-stage.js';

/** Announces an order to an engine, and its progress, to all hosts. */
export interface OrderMark {
  /** Host that sends the order. */
  readonly holder: string;
  readonly model: string;
  readonly version: number;
  readonly stage: OrderStage;
}
