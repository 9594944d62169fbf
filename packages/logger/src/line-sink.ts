/** Target of log lines. */
export interface LineSink {
  readonly write: (line: string) => void;
  /** Writes what waits, at the end of the process. */
  readonly flush: () => void;
}
