/**
 * Speeds that placement starts from: prompt tokens that an engine reads in a millisecond (sheet of the deployments, less what
 * decoding takes), and bits of one megabit per second and millisecond.
 */
export const ENGINE_RATES = { readPerMs: 50, bitsPerMbpsMs: 1000, bitsPerByte: 8 } as const;
