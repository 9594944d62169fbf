/** Bound of the revisions within one era: 17 years at 2,000 changes a second. 8,000 eras then fit into a safe integer. */
export const REVISIONS_PER_ERA = 2 ** 40;
