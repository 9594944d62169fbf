import type { TrafficClass } from './traffic-class.js';

/** A deployment of section 1.2 of the design page, scaled to a run of half a minute. */
export interface Deployment {
  /** Directory below `examples/`. */
  readonly directory: string;
  /** The measure that has the most weight. */
  readonly heaviest: 'ttft' | 'recomputed';
  /** Pool of the long prompts. */
  readonly pool: string;
  readonly store: string;
  readonly linkBytesPerSecond: number;
  /** Engines of that pool and their prefill rate. */
  readonly engines: readonly string[];
  readonly prefillTokensPerSecond: number;
  /** Accounts of the example declarations and their share of the requests, ahead of the added small accounts. */
  readonly largeAccounts: readonly string[];
  readonly domains: readonly string[];
  /** Instances of the plain service. */
  readonly services: readonly string[];
  /** A declaration file whose deadline is changed to make a new generation. */
  readonly changedFile: string;
  readonly classes: readonly TrafficClass[];
}
