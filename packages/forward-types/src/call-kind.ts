import type { CALL_KINDS } from './call-kinds.js';

/** Value of `CALL_KINDS`. */
export type CallKind = (typeof CALL_KINDS)[keyof typeof CALL_KINDS];
