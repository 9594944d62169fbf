/** A cache piece of a prompt. `chain` hashes the prompt up to and including this piece; `tokens` counts this piece only. */
export interface PieceRef {
  readonly chain: string;
  readonly tokens: number;
}
