/** A block in the prefix cache of the fake engine. */
export interface CachedBlock {
  readonly scope: string;
  readonly chain: string;
  /** Modelled size. */
  readonly bytes: number;
  readonly weightVersion: string;
  /** Digest of the prompt up to the end of the block; shows when a block is used for another text. */
  readonly text: string;
}
