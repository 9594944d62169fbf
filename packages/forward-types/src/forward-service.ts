/** A pool of backend servers. */
export interface ForwardService {
  readonly name: string;
  /** Connections that one server accepts from all hosts together. */
  readonly maxConnections: number;
  /** Calls a second that a cold server sustains from all hosts together; servers have no cold state when it is absent. */
  readonly coldPerS?: number;
  /** Time for which a server is cold after it starts, milliseconds. */
  readonly coldStartMs?: number;
  /** Set for model engines. */
  readonly engine?: {
    /** Calls that one engine runs concurrently. */
    readonly slots: number;
    /** Size of one engine's memory, tokens. */
    readonly capacityTokens: number;
    /** Bytes of KV cache per token. */
    readonly bytesPerToken: number;
    /** Bandwidth of an engine's link to other engines and stores, megabits per second. */
    readonly linkMbps: number;
    /** Concurrent long-poll reads of cache events that one engine accepts. */
    readonly maxEventReaders: number;
    readonly models: readonly string[];
    /** An engine sends the memory of a run to another engine while it runs. */
    readonly hasBackups?: boolean;
    /** An engine moves runs to another engine on request. */
    readonly hasMoves?: boolean;
    /** Time for which the memory of a stopped run is kept, milliseconds; `undefined` when not stated. */
    readonly handleMs?: number | undefined;
    /** Most tokens of one event of a stream; `undefined` when not stated. */
    readonly maxEventTokens?: number | undefined;
  };
}
