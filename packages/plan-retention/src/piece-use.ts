/** Usage record of one piece of a prompt. */
export interface PieceUse {
  /** `CACHE_SCOPE:CHAIN`. */
  readonly key: string;
  /** Key of the preceding piece; `undefined` for the first one. */
  readonly parentKey: string | undefined;
  /** Position in the prompt, from 0. */
  readonly index: number;
  readonly tokens: number;
  readonly account: string;
  service: string;
  /** Time of the last use, milliseconds. */
  lastUseMs: number;
  /** Number of uses after the first. */
  returnCount: number;
  /** True while this is the last complete piece of a prompt that may return. */
  isLastComplete: boolean;
  lastRequestId: string;
}
