/** Quarantine of requests that crash engines: suspects and convictions. */
export { createQuarantine } from './create-quarantine.js';
export type { QuarantineOptions } from './quarantine-options.js';
