/** A cache piece of a prompt: the hash chain up to and including this piece, and its token count. */
export interface PieceRef {
  readonly chain: string;
  readonly tokens: number;
}
