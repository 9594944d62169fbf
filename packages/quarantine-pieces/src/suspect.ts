import type { CallTrait } from './call-trait.js';
import type { CrashRecord } from './crash-record.js';

/** A trait of calls that were on crashed servers without having had an answer. Times are monotonic milliseconds. */
export interface Suspect extends CallTrait {
  /** The newest crashes, oldest first. */
  readonly crashes: readonly CrashRecord[];
  /** Time at which the newest call that had the trait and did no harm was begun; `-Infinity` without any. Later crashes count. */
  readonly clearedAtMs: number;
  /** Time at which a call was last admitted to test the trait; `-Infinity` without any. */
  readonly trialAtMs: number;
}
