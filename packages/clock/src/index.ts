/** The only place that reads the clock and sets timers; tests pause and advance the runtime's clock. */
export { readMonotonicMs } from './read-monotonic-ms.js';
export { readWallMs } from './read-wall-ms.js';
export { runEvery } from './run-every.js';
export { sleep } from './sleep.js';
export { startTimer } from './start-timer.js';
export { waitAtMost } from './wait-at-most.js';
