/** A cache event of an engine. Events come late and may be missing; a gap in `seq` shows the loss. */
export interface CacheEvent {
  readonly seq: number;
  readonly at: number;
  readonly type: 'stored' | 'evicted';
  readonly scope: string;
  readonly chain: string;
}
