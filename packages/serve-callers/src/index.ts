/** HTTP server for callers. */
export {};
