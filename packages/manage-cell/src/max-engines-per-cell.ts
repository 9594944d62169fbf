/** Largest number of engines in a cell. The limit keeps the time of a placement decision constant as a pool grows. */
export const MAX_ENGINES_PER_CELL = 24;
