/** Client of a model engine. */
export { createEngineClient } from './create-engine-client.js';
export type { EngineClientOptions } from './engine-client-options.js';
