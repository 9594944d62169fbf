import type { ObjectSource } from '@laburnumshift/forward-types';
import type { FleetDecoder } from './fleet-decoder.js';

/** Options of the fleet view. */
export interface FleetOptions {
  readonly source: ObjectSource;
  readonly decoder: FleetDecoder;
  /** Names of the object kinds in the store. */
  readonly kinds: { readonly config: string; readonly backends: string; readonly weights: string };
  /** Longest wait of one watch request by kind, milliseconds. */
  readonly waitMs: { readonly config: number; readonly backends: number; readonly weights: number };
  /** Returns the delay after a watch answer with changed servers, milliseconds; it lets further changes arrive in one answer. */
  readonly getBatchDelayMs: () => number;
  /** Time for which a server is kept whose entry expired during or shortly after a store outage, milliseconds. */
  readonly expiryGraceMs: number;
}
