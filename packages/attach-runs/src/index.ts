/** Registry of completion runs; a resent request attaches to the run that exists. */
export { createRunRegistry } from './create-run-registry.js';
export type { RunRequest } from './run-request.js';
export type { RunRegistryOptions } from './run-registry-options.js';
export type { RunRegistry } from './run-registry.js';
export type { StartRun } from './start-run.js';
