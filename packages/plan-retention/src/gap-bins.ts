const BINS_PER_OCTAVE = 3;

const FIRST_BIN_END_MS = 1_000;

/** Number of bins. They cover gaps from one second to 24 days; longer gaps are counted in the last bin. */
const BIN_COUNT = 64;

/** Start of each bin, and the end of the last one, milliseconds. */
const BIN_EDGES_MS = Float64Array.from({ length: BIN_COUNT + 1 }, (_, bin) =>
  bin === 0 ? 0 : FIRST_BIN_END_MS * Math.pow(2, (bin - 1) / BINS_PER_OCTAVE),
);

/** Logarithmic histogram bins for the gap between two uses of a prompt. */
export const GAP_BINS = {
  count: BIN_COUNT,
  /** Returns the index of the bin for a gap. */
  findBin: (ms: number): number => {
    if (ms <= FIRST_BIN_END_MS) return 0;
    return Math.min(BIN_COUNT - 1, 1 + Math.floor(Math.log2(ms / FIRST_BIN_END_MS) * BINS_PER_OCTAVE));
  },
  /** Returns the start of a bin, milliseconds; infinity for an index out of range. */
  getStartMs: (bin: number): number => BIN_EDGES_MS[bin] ?? Number.POSITIVE_INFINITY,
} as const;
