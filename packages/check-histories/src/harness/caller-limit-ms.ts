/** A caller stops waiting after this time; longer than the deadline of each service and a pause of a node together. */
export const CALLER_LIMIT_MS = 15_000;
