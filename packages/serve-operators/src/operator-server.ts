/** A running HTTP server for operators. */
export interface OperatorServer {
  /** Base URL with the bound port, without a trailing slash. */
  readonly url: string;
  /** Closes all connections and stops listening. */
  readonly close: () => Promise<void>;
}
