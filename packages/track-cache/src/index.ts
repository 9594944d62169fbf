/** Cache directory of a cell. */
export {};
