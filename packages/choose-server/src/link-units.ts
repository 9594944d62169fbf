/** Conversion factors for link rates: `bitsPerMbpsMs` is the number of bits that one megabit per second carries in a millisecond. */
export const LINK_UNITS = { bitsPerMbpsMs: 1000, bitsPerByte: 8 } as const;
