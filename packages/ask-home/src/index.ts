/** Placement of calls by the home host of a failure domain: the host that chooses backend servers for the other hosts of the domain. */
export { createReservationTable } from './create-reservation-table.js';
export { createHomeClient } from './create-home-client.js';
export { createCallPlacer } from './create-call-placer.js';
export { createPlacementQueue } from './create-placement-queue.js';
export type { ReservationTable } from './reservation-table.js';
export type { PlacementAnswer } from './placement-answer.js';
export type { HomeClient } from './home-client.js';
export { PLACEMENT_TIMING } from './placement-timing.js';
export type { CallPlacer } from './call-placer.js';
export type { PlacementQueue } from './placement-queue.js';
export { servePlacementRequests } from './serve-placement-requests.js';
