/** Paused clock and waiting for conditions, for tests. */
export { installClock } from './install-clock.js';
export { waitFor } from './wait-for.js';
