import type { Moment } from './moment.js';
import { readMonotonicMs } from './read-monotonic-ms.js';
import { readWallMs } from './read-wall-ms.js';

/** Reads the monotonic and the wall clock. */
export function readMoment(): Moment {
  return { monotonicMs: readMonotonicMs(), wallMs: readWallMs() };
}
