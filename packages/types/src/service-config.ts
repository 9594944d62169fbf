import type { CutoverConfig } from './cutover-config.js';
import type { PlacementWeights } from './placement-weights.js';
import type { Priority } from './priority.js';
import type { RetryConfig } from './retry-config.js';

/** A service as published: what callers name in their requests. */
export interface ServiceConfig {
  readonly name: string;
  readonly kind: 'model' | 'plain';
  readonly priority: Priority;
  /** False for calls that must run at most once. Model services are always idempotent. */
  readonly idempotent: boolean;
  /** Names of the client accounts that may call it; '*' means all. */
  readonly accounts: readonly string[] | '*';
  /** Model and optional adapter, for model services. */
  readonly model?: string | undefined;
  readonly adapter?: string | undefined;
  /** Time allowed from acceptance to the first token or the answer, milliseconds. */
  readonly deadlineMs: number;
  readonly weights: PlacementWeights;
  readonly retry: RetryConfig;
  readonly cutover?: CutoverConfig | undefined;
}
