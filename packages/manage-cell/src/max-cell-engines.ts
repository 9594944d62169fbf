/** Engines in one cell; keeps the time of a decision constant as the fleet grows. */
export const MAX_CELL_ENGINES = 24;
