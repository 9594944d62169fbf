import type { EngineOrder } from '@laburnumshift/types';

/** A change that an engine needs: an order without its id, fencing number and deadline. */
export type RequiredChange = Omit<EngineOrder, 'order_id' | 'fencing' | 'deadline'>;
