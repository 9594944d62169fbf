import type { EngineFaults } from './engine-faults.js';
import type { LoadGroup } from './load-group.js';

/** Options of the fake engine. Sizes are modelled bytes, rates are modelled too. */
export interface FakeEngineOptions {
  /** Name; default `engine`. */
  readonly name?: string;
  /** Port; default 0, a free one. */
  readonly port?: number;
  /** Model that it runs; default `model`. */
  readonly model?: string;
  /** Weight version at the start; default `v1`. */
  readonly weightVersion?: string;
  /** Adapters loaded at the start; default none. */
  readonly adapters?: readonly string[];
  /** Role at the start; default `serve`. */
  readonly role?: string;
  /** Requests that run at once; default 8. */
  readonly slots?: number;
  /** Prefill rate that all runs share; default 20,000 tokens per second. */
  readonly prefillTokensPerSecond?: number;
  /** Decode rate of each stream; default 100 tokens per second. */
  readonly decodeTokensPerSecond?: number;
  /** Capacity of the prefix cache; default 64 MiB. */
  readonly cacheBytes?: number;
  /** Size of a full piece; default 1 MiB. */
  readonly pieceBytes?: number;
  /** Tokens in a full piece; default 2,000. */
  readonly pieceTokens?: number;
  /** Refuses orders with an old fencing number; default true. */
  readonly checksFencing?: boolean;
  /** Cold start with new weights; default 500 ms. */
  readonly loadMs?: number;
  /** Engines that slow each other down when more than two load at once; default a group of its own. */
  readonly loadGroup?: LoadGroup;
  /** Base URL of the platform whose weight store is asked before a load; default none. */
  readonly platformUrl?: string;
  /** From a crash to the next boot; default 500 ms. */
  readonly restartMs?: number;
  /** Delay of cache events; default 50 ms. */
  readonly eventDelayMs?: number;
  /** Age up to which a load report is repeated; default 100 ms. */
  readonly loadLagMs?: number;
  /** Imports of a run that take longer are misses; default 2,000 ms. */
  readonly importLimitMs?: number;
  /** Switches that are on from the start. */
  readonly faults?: Partial<EngineFaults>;
}
