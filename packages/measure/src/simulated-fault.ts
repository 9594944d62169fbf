/** A fault in the middle of a simulation. */
export type SimulatedFault = 'store-dead' | 'link-tenth' | 'half-restarted';
