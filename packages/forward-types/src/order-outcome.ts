/** Result of sending an order. `unknown`: there was no answer, and the engine may still execute the order. */
export type OrderOutcome = 'accepted' | 'holds-already' | 'conflict' | 'refused' | 'unknown';
