/** Options of the client of the older system. */
export interface OlderSystemClientOptions {
  /** Base URL, `http://IP:port`. */
  readonly url: string;
  readonly maxConnections?: number | undefined;
}
