/** A host's copy of the configuration, the backend servers and the published weights. */
export type { FleetDecoder } from './fleet-decoder.js';
export type { FleetOptions } from './fleet-options.js';
export type { FleetView } from './fleet-view.js';
export { isUnderOrder } from './is-under-order.js';
export type { NamedWeights } from './named-weights.js';
export { trackFleet } from './track-fleet.js';
