/** HTTP server for operators: status, explain, outcome, metrics, health. */
export {};
