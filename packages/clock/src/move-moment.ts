import type { Moment } from './moment.js';

/** Moves a moment by some milliseconds; a negative number moves it back. */
export function moveMoment({ steadyMs, wallMs }: Moment, ms: number): Moment {
  return { steadyMs: steadyMs + ms, wallMs: wallMs + ms };
}
