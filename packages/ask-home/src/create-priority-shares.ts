import { readMonotonicMs } from '@laburnumshift/clock';
import type { PlacementRequest } from '@laburnumshift/forward-types';
import { estimateHeldTokens } from '@laburnumshift/place-calls';
import type { PriorityShares } from './priority-shares.js';

/** Time over which placed work is averaged, milliseconds: about the time for which a call of an engine holds its memory. */
const USE_WINDOW_MS = 2000;
/** Share of the placed tokens that each priority gets under overload. Small calls need little memory, which large ones often leave. */
const MIN_SHARE = 0.03;
/** Maximum number of (service, priority) pairs. The one that was placed longest ago is dropped. */
const MAX_USES = 256;

interface PriorityUse {
  readonly service: string;
  readonly priority: number;
  /** Tokens placed within about `USE_WINDOW_MS`, as of `atMs`. */
  readonly tokens: number;
  readonly atMs: number;
}

/** Creates shares without any placement. */
export function createPriorityShares(): PriorityShares {
  const uses = new Map<string, PriorityUse>();
  const computeTokens = (use: PriorityUse | undefined, now: number): number =>
    use === undefined ? 0 : use.tokens * Math.exp((use.atMs - now) / USE_WINDOW_MS);
  return {
    recordPlacement: ({ service, priority, prompt }) => {
      if (prompt === undefined) return;
      const now = readMonotonicMs();
      const key = JSON.stringify([service, priority]);
      const tokens = computeTokens(uses.get(key), now) + estimateHeldTokens(prompt);
      uses.delete(key);
      uses.set(key, { service, priority, tokens, atMs: now });
      const [oldest] = uses.keys();
      if (uses.size > MAX_USES && oldest !== undefined) uses.delete(oldest);
    },
    isStarved: ({ service, priority }: PlacementRequest) => {
      const now = readMonotonicMs();
      let [own, moreUrgent] = [0, 0];
      for (const use of uses.values()) {
        if (use.service !== service) continue;
        if (use.priority === priority) own = computeTokens(use, now);
        if (use.priority < priority) moreUrgent += computeTokens(use, now);
      }
      return own < moreUrgent * MIN_SHARE;
    },
  };
}
