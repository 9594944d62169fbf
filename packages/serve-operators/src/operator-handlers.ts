import type { RequestTrace } from '@laburnumshift/types';

/** Callbacks that implement the operator endpoints. */
export interface OperatorHandlers {
  /** Returns true while the process works. The load balancer replaces a host that is not healthy. */
  readonly isHealthy: () => boolean;
  /** Returns true while the node accepts new requests. */
  readonly isReady: () => boolean;
  /** Returns the metrics in text format. */
  readonly readMetrics: () => string | Promise<string>;
  /**
   * Returns the state of all nodes as observed by this node: `{nodes: [{host, generation, ...}]}`. Unreachable nodes have
   * no `generation`.
   */
  readonly readStatus: () => Promise<unknown>;
  /** Returns the traces of a request from all nodes, or an empty array if no node has one. */
  readonly explainRequest: (requestId: string) => Promise<readonly RequestTrace[]>;
  /** Returns the state of a non-idempotent call of a client account, or `undefined` if its key was never received. */
  readonly readOutcome: (account: string, service: string, key: string) => Promise<unknown>;
  /** Starts a graceful shutdown. The response does not wait for its end. */
  readonly drainNode: () => void;
}
