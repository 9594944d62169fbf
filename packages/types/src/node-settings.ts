/** Validated settings of a daemon. */
export interface NodeSettings {
  readonly host: string;
  readonly failureDomain: string;
  /** Listening addresses, `IP:port`; port 0 selects a free port. */
  readonly callers: string;
  readonly operators: string;
  readonly mesh: string;
  readonly platformUrl: string;
  /** Addresses of other nodes to contact before the platform's host list is known. */
  readonly seeds: readonly string[];
  /** Shared secret with which nodes authenticate each other, at least 16 characters. */
  readonly meshSecret: string;
  /** Bearer token of operators; absent means that the operator port accepts loopback callers only. */
  readonly operatorToken?: string | undefined;
  readonly tls?: { readonly certFile: string; readonly keyFile: string } | undefined;
  readonly limits: {
    readonly maxBodyBytes: number;
    readonly maxHeaderBytes: number;
    readonly maxConnections: number;
    /** Largest amount of output that is buffered for one slow caller, bytes. */
    readonly maxBufferedBytes: number;
  };
  readonly platform: { readonly writesPerSecond: number; readonly readsPerSecond: number };
  readonly journal: {
    readonly shards: number;
    readonly retentionMs: number;
    readonly minWriteIntervalMs: number;
  };
  readonly shutdown: { readonly balancerDelayMs: number; readonly drainMs: number };
  readonly log: { readonly level: 'trace' | 'debug' | 'info' | 'warn' | 'error' };
}
