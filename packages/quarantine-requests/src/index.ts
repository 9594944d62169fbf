/** Suspects and convictions of requests that crash engines. */
export { createQuarantine } from './create-quarantine.js';
export type { QuarantineOptions } from './quarantine-options.js';
