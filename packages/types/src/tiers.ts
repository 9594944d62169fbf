/** Storage tiers of a store host. */
export const TIERS = { memory: 'memory', disk: 'disk' } as const;
