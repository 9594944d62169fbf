/** Time for which a server must have produced an answer before its call counts as harmless, milliseconds: crashes reach hosts late. */
export const SURVIVAL_MS = 250;
