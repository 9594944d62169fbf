/** Placement decision and the baselines it is measured against. */
export {};
