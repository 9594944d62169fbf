import type { RetentionRule } from './retention-rule.js';

/** Share of prompts that must have returned for a service's pieces to be worth the link. */
const MIN_RETURN_RATE = 0.05;

/** Retention rules by name. All stores drop the least recently used piece when full. */
export const RETENTION_RULES: Readonly<Record<'keep-none' | 'keep-all-lru' | 'by-return', RetentionRule>> = {
  'keep-none': () => false,
  'keep-all-lru': () => true,
  'by-return': (_kind, returnRate) => returnRate >= MIN_RETURN_RATE,
};
