import type { RULED_OUT_REASONS } from './ruled-out-reasons.js';

export type RuledOutReason = (typeof RULED_OUT_REASONS)[keyof typeof RULED_OUT_REASONS];
