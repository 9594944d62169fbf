/** Options of the client of one engine. */
export interface EngineClientOptions {
  readonly url: string;
  /** Time for one short call; default 1,000 ms. */
  readonly callLimitMs?: number;
  /** Time for an export, which waits for the store's link; default 30,000 ms. */
  readonly exportLimitMs?: number;
  /** An event stream without any event for this long is opened again; default 10,000 ms. */
  readonly eventSilenceMs?: number;
  /** Connections open at once; default 256. */
  readonly maxSockets?: number;
  /** Largest line of a stream; default 64 KiB. */
  readonly maxLineBytes?: number;
  /** Largest answer of a call; default 64 MiB, for the list of pieces. */
  readonly maxBodyBytes?: number;
}
