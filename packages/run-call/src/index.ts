/** Runs one plain service call. */
export {};
