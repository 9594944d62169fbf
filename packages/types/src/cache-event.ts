/** A cache event of an engine. Events are delayed and may be lost; a gap in `seq` reveals the loss. */
export interface CacheEvent {
  readonly seq: number;
  readonly at: number;
  readonly type: 'stored' | 'evicted';
  readonly scope: string;
  readonly chain: string;
}
