/** Options of the client of one engine. */
export interface EngineClientOptions {
  readonly url: string;
  /** Timeout of a call without a long operation; default 1,000 ms. */
  readonly callTimeoutMs?: number;
  /** Timeout of an export, which waits for the link of the store; default 30,000 ms. */
  readonly exportTimeoutMs?: number;
  /** `watchEvents` ends after this time without an event; default 10,000 ms. */
  readonly eventTimeoutMs?: number;
  /** Largest number of open connections; default 256. */
  readonly maxConnections?: number;
  /** Largest length of a line in a stream, characters; default 64 Ki. */
  readonly maxLineLength?: number;
  /** Largest response body of a call, bytes; default 64 MiB, for the list of pieces. */
  readonly maxBodyBytes?: number;
}
