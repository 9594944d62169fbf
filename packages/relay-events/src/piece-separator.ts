/** Separates the pieces of a change in a page. */
export const PIECE_SEPARATOR = '\n';
