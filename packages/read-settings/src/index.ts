/** Reads and checks the settings of a daemon. */
export {};
