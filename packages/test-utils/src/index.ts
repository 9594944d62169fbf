/** Test helpers: a paused clock, free ports and waiting for conditions. */
export { findFreePort } from './find-free-port.js';
export { installClock } from './install-clock.js';
export { waitFor } from './wait-for.js';
