/** A change of the cached pieces of an engine or a store. */
export interface CacheEvent {
  /** True when the piece was added or changed, false when it was dropped. */
  readonly isAdded: boolean;
  /** Namespace of the piece. */
  readonly scope: string;
  readonly piece: string;
  /** Tokens of the piece that are cached after the change. */
  readonly tokens: number;
}
