/** The value of a fitted line at a size; never below zero. */
export type Lookup = (measurement: string, series: string, x?: number) => number;
