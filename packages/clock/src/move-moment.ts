import type { Moment } from './moment.js';

/** Shifts a moment by `ms` milliseconds on both clocks; a negative number shifts it back. */
export function moveMoment({ monotonicMs: steadyMs, wallMs }: Moment, ms: number): Moment {
  return { monotonicMs: steadyMs + ms, wallMs: wallMs + ms };
}
