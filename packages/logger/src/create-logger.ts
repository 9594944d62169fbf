import bunyan from 'bunyan';
import type { Logger } from './logger.js';

const root = bunyan.createLogger({ name: 'laburnumshift', level: 'warn' });

/**
 * Creates the logger of one part. Each message starts with the part's prefix, e.g. `[journal]`.
 * Messages carry no prompt text and no keys.
 */
export function createLogger(part: string): Logger {
  const child = root.child({ part });
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
      root.level(level);
      child.level(level);
    },
  };
}
