import type { ObjectSource } from '@laburnumshift/forward-types';
import type { FleetDecoder } from './fleet-decoder.js';

/** Options of the fleet view. */
export interface FleetOptions {
  readonly source: ObjectSource;
  readonly decoder: FleetDecoder;
  /** Names of the kinds in the store. */
  readonly kinds: { readonly config: string; readonly backends: string; readonly weights: string };
  /** Longest wait of one watch call by kind, milliseconds. */
  readonly waitMs: { readonly config: number; readonly backends: number; readonly weights: number };
  /** Pause after an answer with changed servers, milliseconds. */
  readonly getGatherMs: () => number;
  /** An entry that vanished around an outage of the store is kept for so long, milliseconds. */
  readonly lapseGraceMs: number;
}
