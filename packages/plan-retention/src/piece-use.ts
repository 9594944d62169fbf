/** Uses of one piece of a prompt. */
export interface PieceUse {
  readonly key: string;
  /** Key of the piece before; absent for the first piece. */
  readonly parent: string | undefined;
  /** Position in the prompt. */
  readonly index: number;
  readonly tokens: number;
  readonly account: string;
  service: string;
  lastUseMs: number;
  /** Uses after the first. */
  returns: number;
  /** True while it is the last complete piece of a prompt that may come back. */
  isTail: boolean;
  lastRequest: string;
}
