import { PRIORITIES } from '@laburnumshift/types';
import type { PrefillBacklog } from './prefill-backlog.js';

const MS_PER_S = 1000;
/**
 * Engines prefill in chunks that are not interrupted, of 500 tokens or so. A request finds on average half of one under way when
 * the engine has any work.
 */
const CHUNK_REST_TOKENS = 250;

/** Creates an empty backlog. Engines honour priorities, so urgent tokens are worked off before normal and bulk ones. */
export function createPrefillBacklog(): PrefillBacklog {
  const tokens = Object.values(PRIORITIES).map(() => 0);
  let atMs = 0;
  const updateTo = (rate: number, nowMs: number): void => {
    let worked = (Math.max(0, nowMs - atMs) / MS_PER_S) * rate;
    atMs = nowMs;
    tokens.forEach((count, level) => {
      const done = Math.min(count, worked);
      tokens[level] = count - done;
      worked -= done;
    });
  };
  return {
    addTokens: (count, priority, rate, nowMs) => {
      updateTo(rate, nowMs);
      const level = PRIORITIES[priority];
      tokens[level] = (tokens[level] ?? 0) + count;
    },
    setTotal: (total, rate, nowMs) => {
      updateTo(rate, nowMs);
      const known = tokens.reduce((sum, count) => sum + count, 0);
      if (known > 0) {
        tokens.forEach((count, level) => {
          tokens[level] = (count / known) * total;
        });
      } else tokens[PRIORITIES.normal] = total;
    },
    getTokens: (priority, rate, nowMs) => {
      updateTo(rate, nowMs);
      const before = tokens.slice(0, PRIORITIES[priority] + 1).reduce((sum, count) => sum + count, 0);
      const behind = tokens.slice(PRIORITIES[priority] + 1).reduce((sum, count) => sum + count, 0);
      return Math.max(before, Math.min(before + behind, CHUNK_REST_TOKENS));
    },
    clear: () => {
      tokens.fill(0);
    },
  };
}
