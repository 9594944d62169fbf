/** Failure detection and membership among nodes. */
export {};
