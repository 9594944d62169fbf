/** Starts the demo. */
export {};
