/** What became of an order. `unknown`: no answer, it may be carried out later. */
export type OrderOutcome = 'accepted' | 'holds-already' | 'conflict' | 'refused' | 'unknown';
