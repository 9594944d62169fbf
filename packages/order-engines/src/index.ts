/** Rollouts of weights, adapters and roles by fenced orders. */
export {};
