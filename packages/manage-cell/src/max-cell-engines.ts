/** Largest number of engines in a cell. The limit keeps the time of a placement decision constant as a pool grows. */
export const MAX_CELL_ENGINES = 24;
