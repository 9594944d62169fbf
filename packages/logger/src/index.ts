/** Structured logs with a fixed prefix for each component. */
export { createLineSink } from './create-line-sink.js';
export { createLogger } from './create-logger.js';
export type { Logger } from './logger.js';
