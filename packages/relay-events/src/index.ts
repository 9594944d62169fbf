/** One reader of cache events for the hosts of a failure domain. */
export { createEventsRelay } from './create-events-relay.js';
export type { EventsRelay } from './events-relay.js';
export type { RelayOptions } from './relay-options.js';
