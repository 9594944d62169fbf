/** Separates the piece ids of a change in the encoded page. */
export const PIECE_SEPARATOR = '\n';
