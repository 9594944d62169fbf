import type { RequestTrace } from '@laburnumshift/types';

/** What the node answers to its operators. */
export interface OperatorHandlers {
  /** True while the process works; the load balancer replaces a host that is not healthy. */
  readonly isHealthy: () => boolean;
  /** True while the node takes new work. */
  readonly isReady: () => boolean;
  /** Metrics in text format. */
  readonly readMetrics: () => string | Promise<string>;
  /** State of all nodes as this one sees it: `{nodes: [{host, generation, ...}]}`; unreachable nodes lack `generation`. */
  readonly readStatus: () => Promise<unknown>;
  /** Traces of a request on all nodes. */
  readonly explainRequest: (requestId: string) => Promise<readonly RequestTrace[]>;
  /** State of a non-idempotent call of an account; `undefined` when its key was never seen. */
  readonly readOutcome: (account: string, service: string, key: string) => Promise<unknown>;
  /** Begins a graceful shutdown. */
  readonly drainNode: () => void;
}
