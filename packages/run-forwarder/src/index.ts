/** Process of a forwarding host. */
export { FORWARDER_TIMINGS } from './forwarder-timings.js';
export type { ForwarderOptions } from './forwarder-options.js';
export { isHostReady } from './is-host-ready.js';
export { runForwarder } from './run-forwarder.js';
export type { RunningForwarder } from './running-forwarder.js';
