import type { Logger } from './logger.js';
import { ROOT_LOGGER } from './root-logger.js';

/**
 * Creates the logger of one part. Each message starts with the part's prefix, e.g. `[journal]`.
 * Messages carry no prompt text and no keys.
 */
export function createLogger(part: string): Logger {
  const child = ROOT_LOGGER.child({ part });
  const prefix = `[${part}] `;
  return {
    debug: (message, fields = {}) => {
      child.debug(fields, prefix + message);
    },
    info: (message, fields = {}) => {
      child.info(fields, prefix + message);
    },
    warn: (message, fields = {}) => {
      child.warn(fields, prefix + message);
    },
    error: (message, fields = {}) => {
      child.error(fields, prefix + message);
    },
    setLevel: (level) => {
      ROOT_LOGGER.level(level);
      child.level(level);
    },
  };
}
