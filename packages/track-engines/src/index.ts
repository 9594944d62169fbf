/** Load, health and cached pieces of backend servers. */
export type { CallObservations } from './call-observations.js';
export type { CallWork } from './call-work.js';
export type { OutstandingWork } from './outstanding-work.js';
export type { ServerCondition } from './server-condition.js';
export { createServerTracker } from './create-server-tracker.js';
export { createServerNotices } from './create-server-notices.js';
export type { ServerTracker } from './server-tracker.js';
export type { CacheFetch } from './cache-fetch.js';
export type { PieceTable } from './piece-table.js';
export type { ServerIncarnation } from './server-incarnation.js';
export type { ServerNotice } from './server-notice.js';
export type { ServerNotices } from './server-notices.js';
export type { ServerAvailability } from './server-availability.js';
export type { ServerState } from './server-state.js';
export type { TrackedCall } from './tracked-call.js';
