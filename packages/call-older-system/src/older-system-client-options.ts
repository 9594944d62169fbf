/** Options of the client of the older system. */
export interface OlderSystemClientOptions {
  /** Base URL, `http://IP:port`. */
  readonly url: string;
  /** Largest number of open connections for calls; default 256. Completion streams use connections of their own. */
  readonly maxConnections?: number | undefined;
}
