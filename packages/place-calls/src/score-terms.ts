/** Terms of a score by name; their sum is the score, and the candidate with the lowest one is chosen. */
export type ScoreTerms = Readonly<Record<string, number>>;
