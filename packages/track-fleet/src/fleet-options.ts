import type { ObjectSource } from '@laburnumshift/forward-types';
import type { FleetDecoder } from './fleet-decoder.js';

/** Options of the fleet view. */
export interface FleetOptions {
  readonly source: ObjectSource;
  readonly decoder: FleetDecoder;
  /** Names of the object kinds in the store. Evacuations are not followed when their kind is absent. */
  readonly kinds: {
    readonly config: string;
    readonly backends: string;
    readonly weights: string;
    readonly evacuations?: string;
  };
  /** Longest wait of one watch request by kind, milliseconds. */
  readonly waitMs: {
    readonly config: number;
    readonly backends: number;
    readonly weights: number;
    readonly evacuations?: number;
  };
  /** Returns the delay after a watch answer with changed servers, milliseconds; it lets further changes arrive in one answer. */
  readonly getBatchDelayMs: () => number;
  /**
   * Time after the end of a store outage, milliseconds, until which a server is kept whose entry expired during the outage or since:
   * running servers register again in this time.
   */
  readonly expiryGraceMs: number;
  /** Calls to the store that fail for a shorter time are no outage in which entries expire, milliseconds. */
  readonly minOutageMs: number;
  /** Longest time from the last failed call to the store to the assumed end of an outage: see `WatchOptions`. */
  readonly maxReturnDelayMs: number;
}
