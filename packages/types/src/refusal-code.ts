import type { REFUSAL_CODES } from './refusal-codes.js';

/** A stable refusal code. */
export type RefusalCode = (typeof REFUSAL_CODES)[keyof typeof REFUSAL_CODES];
