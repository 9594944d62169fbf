import type { PromptPart } from './prompt-part.js';
import type { TrafficClass } from './traffic-class.js';

/** One request of a workload. */
export interface LoadRequest {
  /** Time of sending, from the start of the run. */
  readonly atMs: number;
  /** Request id; the idempotency key of a booking follows from it. */
  readonly id: string;
  readonly account: string;
  readonly kind: TrafficClass;
  readonly parts: readonly PromptPart[];
  readonly tokens: number;
  /** Tokens of parts that no earlier request of the workload had. */
  readonly newTokens: number;
}
