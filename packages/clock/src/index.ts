/** Reads clocks and sets timers. No other package does so directly; tests pause and advance the clock of the runtime. */
export { computeElapsedMs } from './compute-elapsed-ms.js';
export { computeMinElapsedMs } from './compute-min-elapsed-ms.js';
export { createEarliestTimer } from './create-earliest-timer.js';
export { createSharedInterval } from './create-shared-interval.js';
export type { EarliestTimer } from './earliest-timer.js';
export type { Loop } from './loop.js';
export type { Moment } from './moment.js';
export { moveMoment } from './move-moment.js';
export { readMoment } from './read-moment.js';
export { readMonotonicMs } from './read-monotonic-ms.js';
export { readWallMs } from './read-wall-ms.js';
export { runEvery } from './run-every.js';
export { sleep } from './sleep.js';
export { startLoop } from './start-loop.js';
export { startTimer } from './start-timer.js';
export { waitForReads } from './wait-for-reads.js';
export { waitWithTimeout } from './wait-with-timeout.js';
export { watchSuspension } from './watch-suspension.js';
