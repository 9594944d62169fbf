import type { Moment } from './moment.js';

/** Shifts a moment by `ms` milliseconds on both clocks; a negative number shifts it back. */
export function moveMoment({ monotonicMs, wallMs }: Moment, ms: number): Moment {
  return { monotonicMs: monotonicMs + ms, wallMs: wallMs + ms };
}
