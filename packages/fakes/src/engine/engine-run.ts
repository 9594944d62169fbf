import type { EngineRequest } from '@laburnumshift/types';
import type { EngineRunRecord } from './engine-run-record.js';

/** A run of one completion on the fake engine. */
export interface EngineRun {
  readonly request: EngineRequest;
  /** Cancels the run. */
  readonly stopper: AbortController;
  /** Monotonic clock, milliseconds. */
  readonly arrivedAtMs: number;
  /** Weight version that the run keeps to its end. */
  weightVersion: string;
  promptTokens: number;
  cachedPieces: number;
  importedPieces: number;
  computedTokens: number;
  /** Output tokens still to be sent. */
  outputLeft: number;
  /** True when a block of another scope, version or text was used. */
  foreign: boolean;
  /** Set when the run begins. */
  record?: EngineRunRecord | undefined;
}
