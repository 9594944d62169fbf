/** Authenticated links between nodes. */
export {};
