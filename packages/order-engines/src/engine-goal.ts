import type { EngineOrder } from '@laburnumshift/types';

/** What an engine lacks: the order without its number, fencing and deadline. */
export type EngineGoal = Omit<EngineOrder, 'order_id' | 'fencing' | 'deadline'>;
