/** Leases with rising fencing numbers on platform objects. */
export {};
