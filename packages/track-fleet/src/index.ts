/** A host's copy of the configuration, the backend servers and the published weights. */
export type { FleetDecoder } from './fleet-decoder.js';
export type { FleetOptions } from './fleet-options.js';
export type { FleetView } from './fleet-view.js';
export { hasPendingOrder } from './has-pending-order.js';
export type { PublishedWeights } from './published-weights.js';
export { trackFleet } from './track-fleet.js';
