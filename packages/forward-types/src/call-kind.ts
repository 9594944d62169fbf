import type { CALL_KINDS } from './call-kinds.js';

export type CallKind = (typeof CALL_KINDS)[keyof typeof CALL_KINDS];
