/** Records histories of concurrent runs with faults and checks the invariants. */
export {};
