/** Checks the bytes of the answer to one request. */
export interface ResponseCheck {
  /**
   * Takes the next bytes of the connection. Returns what is wrong with them, or `undefined` while they are part of an answer. Bytes after
   * the end of the answer are not looked at. Takes time linear in the number of bytes, however they are split.
   */
  readonly addBytes: (bytes: Buffer) => string | undefined;
  /** True within a body without a length or chunks, which ends with its connection. */
  readonly isEndingWithConnection: () => boolean;
}
