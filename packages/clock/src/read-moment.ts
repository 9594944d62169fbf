import type { Moment } from './moment.js';
import { readMonotonicMs } from './read-monotonic-ms.js';
import { readWallMs } from './read-wall-ms.js';

/** Reads both clocks. */
export function readMoment(): Moment {
  return { steadyMs: readMonotonicMs(), wallMs: readWallMs() };
}
