import type { REFUSAL_CAUSES } from './refusal-causes.js';

export type RefusalCause = (typeof REFUSAL_CAUSES)[keyof typeof REFUSAL_CAUSES];
