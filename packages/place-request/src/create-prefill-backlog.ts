import { PRIORITIES } from '@laburnumshift/types';
import type { PrefillBacklog } from './prefill-backlog.js';

const MS_PER_S = 1000;
/**
 * Mean number of tokens left of the chunk that an engine is prefilling. Engines prefill in chunks of about 500 tokens, which are
 * not interrupted, and a request arrives on average halfway through one when the engine has any work.
 */
const MEAN_CHUNK_REMAINDER_TOKENS = 250;

/** Creates an empty backlog. Engines prefill by priority, so urgent tokens are completed before normal and bulk ones. */
export function createPrefillBacklog(): PrefillBacklog {
  const tokensByLevel = Object.values(PRIORITIES).map(() => 0);
  let updatedAtMs = 0;
  const updateTo = (tokensPerSecond: number, nowMs: number): void => {
    let prefilledTokens = (Math.max(0, nowMs - updatedAtMs) / MS_PER_S) * tokensPerSecond;
    updatedAtMs = nowMs;
    tokensByLevel.forEach((count, level) => {
      const done = Math.min(count, prefilledTokens);
      tokensByLevel[level] = count - done;
      prefilledTokens -= done;
    });
  };
  return {
    addTokens: (count, priority, tokensPerSecond, nowMs) => {
      updateTo(tokensPerSecond, nowMs);
      const level = PRIORITIES[priority];
      tokensByLevel[level] = (tokensByLevel[level] ?? 0) + count;
    },
    setTotalTokens: (total, tokensPerSecond, nowMs) => {
      updateTo(tokensPerSecond, nowMs);
      const knownTotal = tokensByLevel.reduce((sum, count) => sum + count, 0);
      if (knownTotal > 0) {
        tokensByLevel.forEach((count, level) => {
          tokensByLevel[level] = (count / knownTotal) * total;
        });
      } else tokensByLevel[PRIORITIES.normal] = total;
    },
    getTokensAhead: (priority, tokensPerSecond, nowMs) => {
      updateTo(tokensPerSecond, nowMs);
      const tokensUpTo = tokensByLevel
        .slice(0, PRIORITIES[priority] + 1)
        .reduce((sum, count) => sum + count, 0);
      const tokensAfter = tokensByLevel
        .slice(PRIORITIES[priority] + 1)
        .reduce((sum, count) => sum + count, 0);
      return Math.max(tokensUpTo, Math.min(tokensUpTo + tokensAfter, MEAN_CHUNK_REMAINDER_TOKENS));
    },
    clear: () => {
      tokensByLevel.fill(0);
    },
  };
}
