/** Publishes, compares and rolls back configurations. */
export {};
