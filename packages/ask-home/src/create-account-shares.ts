import { readMonotonicMs } from '@laburnumshift/clock';
import type { PlacementRequest } from '@laburnumshift/forward-types';
import { estimateHeldTokens } from '@laburnumshift/place-calls';
import type { AccountShares } from './account-shares.js';

/** Time over which placed work is averaged, milliseconds: about the time for which a call of an engine holds its memory. */
const USE_WINDOW_MS = 2000;
/** Share below which an account does not count as a competitor, so that an account with a rare call does not lower the equal share. */
const MIN_SHARE = 0.02;
/** Maximum number of groups of calls, and of accounts in each. The one that was placed longest ago is dropped. */
const MAX_GROUPS = 64;
const MAX_ACCOUNTS = 256;

interface AccountUse {
  /** Work placed within about `USE_WINDOW_MS`, as of `atMs`: tokens of memory, or calls of a plain service. */
  readonly work: number;
  readonly atMs: number;
}

const setNewest = <T>(map: Map<string, T>, key: string, value: T, maxSize: number): void => {
  map.delete(key);
  map.set(key, value);
  const [oldest] = map.keys();
  if (map.size > maxSize && oldest !== undefined) map.delete(oldest);
};

/** Creates shares without any placement. */
export function createAccountShares(): AccountShares {
  const usesByGroup = new Map<string, Map<string, AccountUse>>();
  const buildGroup = ({ service, priority }: PlacementRequest): string => JSON.stringify([service, priority]);
  const computeWork = (use: AccountUse | undefined, now: number): number =>
    use === undefined ? 0 : use.work * Math.exp((use.atMs - now) / USE_WINDOW_MS);
  return {
    recordPlacement: (request) => {
      if (request.account === undefined) return;
      const now = readMonotonicMs();
      const group = buildGroup(request);
      const uses = usesByGroup.get(group) ?? new Map<string, AccountUse>();
      const added = request.prompt === undefined ? 1 : estimateHeldTokens(request.prompt);
      const work = computeWork(uses.get(request.account), now) + added;
      setNewest(uses, request.account, { work, atMs: now }, MAX_ACCOUNTS);
      setNewest(usesByGroup, group, uses, MAX_GROUPS);
    },
    computeExcessShare: (request) => {
      const uses = usesByGroup.get(buildGroup(request));
      if (request.account === undefined || uses === undefined) return 0;
      const now = readMonotonicMs();
      const works = [...uses.values()].map((use) => computeWork(use, now));
      const total = works.reduce((sum, work) => sum + work, 0);
      if (total === 0) return 0;
      const competitors = works.filter((work) => work > total * MIN_SHARE).length;
      return Math.max(0, computeWork(uses.get(request.account), now) / total - 1 / Math.max(1, competitors));
    },
  };
}
