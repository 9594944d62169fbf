import type { CutoverConfig } from './cutover-config.js';
import type { PlacementWeights } from './placement-weights.js';
import type { Priority } from './priority.js';
import type { RetryConfig } from './retry-config.js';

/** A service in the published configuration; callers name it in their requests. */
export interface ServiceConfig {
  readonly name: string;
  readonly kind: 'model' | 'plain';
  readonly priority: Priority;
  /** False when each call must run at most once. Model services are always idempotent. */
  readonly idempotent: boolean;
  /** Names of the client accounts that may call it; '*' means all. */
  readonly accounts: readonly string[] | '*';
  /** Model and optional adapter, for model services. */
  readonly model?: string | undefined;
  readonly adapter?: string | undefined;
  /** Longest time from acceptance to the first token or to the answer, milliseconds. */
  readonly deadlineMs: number;
  readonly weights: PlacementWeights;
  readonly retry: RetryConfig;
  readonly cutover?: CutoverConfig | undefined;
}
