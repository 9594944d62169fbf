/** Finds what calls have in common that crash backend servers. */
export type { BrokenCall } from './broken-call.js';
export type { CrashDetector } from './crash-detector.js';
export { createCrashDetector } from './create-crash-detector.js';
export { listCallTraits } from './list-call-traits.js';
export type { ServerCrash } from './server-crash.js';
export { SURVIVAL_MS } from './survival-ms.js';
