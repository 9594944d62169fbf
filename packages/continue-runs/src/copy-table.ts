/** Copies of this host's runs at other engines. */
export interface CopyTable {
  /** Records a copy at an engine until the returned function is called. */
  readonly addCopy: (engine: string) => () => void;
  readonly countAt: (engine: string) => number;
  readonly countAll: () => number;
}
