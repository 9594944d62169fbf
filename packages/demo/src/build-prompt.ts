/** Characters of a full piece: 2,000 tokens of 4 characters. */
const PIECE_CHARACTERS = 8_000;

/** Builds a prompt of some pieces whose text depends on the name from the first character on. */
export function buildPrompt(name: string, pieces: number): string {
  return `${name}; `
    .repeat(Math.ceil((PIECE_CHARACTERS * pieces) / (name.length + 2)))
    .slice(0, PIECE_CHARACTERS * pieces);
}
