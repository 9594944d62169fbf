import type { Moment } from './moment.js';

/** Shifts a moment by `ms` milliseconds on both clocks; a negative number shifts it back. */
export function moveMoment({ steadyMs, wallMs }: Moment, ms: number): Moment {
  return { steadyMs: steadyMs + ms, wallMs: wallMs + ms };
}
