import type { REFUSAL_CODES } from './refusal-codes.js';

/** A refusal code that callers see. */
export type RefusalCode = (typeof REFUSAL_CODES)[keyof typeof REFUSAL_CODES];
