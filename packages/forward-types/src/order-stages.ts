/** Stages of an order to an engine, in sequence. From `draining` until `done` the engine gets no calls. */
export const ORDER_STAGES = {
  /** The engine gets no new calls; the order has not been sent. */
  draining: 'draining',
  /** The order has been sent or is about to be sent. */
  ordered: 'ordered',
  /** The engine has the ordered version. */
  done: 'done',
} as const;
