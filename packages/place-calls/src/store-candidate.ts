/** A store that may keep a piece. */
export interface StoreCandidate {
  readonly name: string;
  readonly address: string;
  readonly capacityTokens: number;
  /** Tokens of pieces that are stored or being saved. */
  readonly usedTokens: number;
}
