import type { ORDER_STAGES } from './order-stages.js';

export type OrderStage = (typeof ORDER_STAGES)[keyof typeof ORDER_STAGES];
