import type { Cluster } from './cluster.js';

/** A fault in the middle of a run, and the candidates that it is measured with. */
export interface DaemonFault {
  readonly description: string;
  /** Names of candidates; the first is the product. */
  readonly candidates: readonly string[];
  readonly injectFault: (cluster: Cluster) => Promise<void>;
  /** The baseline that the product must come back to within 1.2 of, 5 s after the fault. */
  readonly recovery?: string | undefined;
}
