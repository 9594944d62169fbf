/** A pool of backend servers. */
export interface ForwardService {
  readonly name: string;
  /** Connections that one server takes from all hosts together. */
  readonly maxConnections: number;
  /** Set for model engines. */
  readonly engine?: {
    /** Calls processed at once. */
    readonly slots: number;
    /** Memory of one engine, tokens. */
    readonly capacityTokens: number;
    readonly bytesPerToken: number;
    /** Rate of an engine's link to other engines and stores, megabits per second. */
    readonly linkMbps: number;
    /** Waiting event reads that one engine answers at once. */
    readonly maxEventReaders: number;
    readonly models: readonly string[];
  };
}
