/** Measurement scenarios, baselines and the load tool. */
export {};
