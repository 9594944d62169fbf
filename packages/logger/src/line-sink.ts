/** Buffered output for log lines. */
export interface LineSink {
  /** Buffers a line, which includes its line break; drops it when the buffer is full. */
  readonly write: (line: string) => void;
  /** Writes the buffered lines synchronously, for use when the process exits. Ignores write errors. */
  readonly flush: () => void;
}
