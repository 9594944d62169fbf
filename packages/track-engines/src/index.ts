/** Load, health and cached pieces of backend servers. */
export type { CallWork } from './call-work.js';
export { createEngineBoard } from './create-engine-board.js';
export type { EngineBoard } from './engine-board.js';
export type { PieceTable } from './piece-table.js';
export type { ServerState } from './server-state.js';
export type { TrackedCall } from './tracked-call.js';
