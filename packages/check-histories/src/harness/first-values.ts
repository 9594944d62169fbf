import type { ConfigValues } from './config-values.js';

/** Values of the first generation. */
export const FIRST_VALUES: ConfigValues = { weightVersion: 'v1', olderShare: 0.25, accountWeight: 1 };
