/** A change of what an engine or a store has cached. */
export interface CacheEvent {
  /** False when the piece was dropped. */
  readonly isAdded: boolean;
  readonly scope: string;
  readonly piece: string;
  /** Tokens of the piece that are kept now. */
  readonly tokens: number;
}
