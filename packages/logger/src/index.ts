/** Structured logs with a fixed prefix for each part. */
export { createLogger } from './create-logger.js';
export type { Logger } from './logger.js';
