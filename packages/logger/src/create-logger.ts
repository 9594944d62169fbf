import type { Logger } from './logger.js';
import { ROOT_LOGGER } from './root-logger.js';

/**
 * Creates the logger of one component. Each message starts with the prefix of the component, e.g. `[journal]`.
 * Messages must not contain prompt text or keys.
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
