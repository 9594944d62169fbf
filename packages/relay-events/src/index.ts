/** Relays cache events, so that one host of a failure domain reads them for the others. */
export { createEventsRelay } from './create-events-relay.js';
export type { EventsRelay } from './events-relay.js';
export type { EventsRelayOptions } from './events-relay-options.js';
