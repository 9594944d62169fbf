/** Keeps the calls of all hosts together below the limits that backend servers state. */
export { createServerLimits } from './create-server-limits.js';
export type { ColdLimits } from './cold-limits.js';
export type { ColdSharing } from './cold-sharing.js';
export { createColdLimits } from './create-cold-limits.js';
export { startColdSharing } from './start-cold-sharing.js';
export type { LimitedServer } from './limited-server.js';
export type { RoomForecast } from './room-forecast.js';
export type { ServerLimits } from './server-limits.js';
export type { ServerLimitsOptions } from './server-limits-options.js';
