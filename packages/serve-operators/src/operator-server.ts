/** A running operator server. */
export interface OperatorServer {
  readonly url: string;
  /** Closes the port and all connections. */
  readonly close: () => Promise<void>;
}
