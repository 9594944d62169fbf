const BINS_PER_OCTAVE = 3;

const FIRST_EDGE_MS = 1_000;

/** Covers gaps from one second to 24 days; longer ones fall in the last bin. */
const BIN_COUNT = 64;

/** Start of each bin and the end of the last one, milliseconds. */
const EDGES = Float64Array.from({ length: BIN_COUNT + 1 }, (_, bin) =>
  bin === 0 ? 0 : FIRST_EDGE_MS * Math.pow(2, (bin - 1) / BINS_PER_OCTAVE),
);

/** Bins of gaps between two uses of a prompt, on a logarithmic scale. */
export const GAP_BINS = {
  count: BIN_COUNT,
  /** Bin of a gap. */
  findBin: (ms: number): number => {
    if (ms <= FIRST_EDGE_MS) return 0;
    return Math.min(BIN_COUNT - 1, 1 + Math.floor(Math.log2(ms / FIRST_EDGE_MS) * BINS_PER_OCTAVE));
  },
  /** Start of a bin, milliseconds. */
  getStart: (bin: number): number => EDGES[bin] ?? Number.POSITIVE_INFINITY,
} as const;
