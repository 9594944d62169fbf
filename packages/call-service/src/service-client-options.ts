/** Options of the client of a plain service. */
export interface ServiceClientOptions {
  /** Base URL, `http://IP:port`. */
  readonly url: string;
  /** Connections at once; further calls fail with `unreachable`, not sent. */
  readonly maxConnections?: number | undefined;
  /** A connection that answered within this time counts as proven, milliseconds; 0 proves each call. */
  readonly provenMs?: number | undefined;
  /** Largest answer, bytes. */
  readonly maxAnswerBytes?: number | undefined;
}
