/** Runs one completion from placement to the last token. */
export {};
