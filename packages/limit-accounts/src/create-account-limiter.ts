import { readMonotonicMs, runEvery } from '@laburnumshift/clock';
import type { AccountLimits } from '@laburnumshift/types';
import type { AccountLimiter } from './account-limiter.js';
import type { AccountUse } from './account-use.js';
import { createShareDivider } from './create-share-divider.js';
import { createTokenBucket } from './create-token-bucket.js';
import type { TokenBucket } from './token-bucket.js';
import type { LimiterOptions } from './limiter-options.js';
import { buildLimits } from './build-limits.js';
import { SHARE_TIMES } from './share-times.js';

const MS_PER_S = 1000;
const MIN_RETRY_MS = 20;
/** Weight of the latest call in the smoothed duration. */
const DURATION_GAIN = 0.1;
const FIRST_CALL_MS = 500;
/** A share that is used up to this part is refreshed at once, so that it can grow before calls are refused. */
const NEAR_PART = 0.5;

/**
 * Creates the limiter of a node. Each account's limits are divided among the nodes by the account's home. A share is valid
 * for 6 s, a small one for longer with many nodes; when the home is silent for longer, and before the first answer, the node applies limit / nodes.
 */
export function createAccountLimiter(options: LimiterOptions): AccountLimiter {
  const { getLimits, countNodes } = options;
  const divider = createShareDivider(getLimits, countNodes);
  const uses = new Map<string, AccountUse>();
  const counts = { admitted: 0, refused: 0, shares: 0, silentHomes: 0 };

  const getUse = (account: string, nowMs: number): AccountUse => {
    const known = uses.get(account);
    if (known !== undefined) return known;
    const limits = getFallback(account);
    const use: AccountUse = {
      requests: createTokenBucket(limits.requestsPerSecond, nowMs),
      tokens: createTokenBucket(limits.tokensPerSecond, nowMs),
      running: 0,
      callMs: FIRST_CALL_MS,
      lastCallMs: nowMs,
      askedRequests: 0,
      askedTokens: 0,
      peakRunning: 0,
      refreshedAtMs: nowMs,
      wasRefused: false,
      share: undefined,
    };
    uses.set(account, use);
    return use;
  };
  const getFallback = (account: string): AccountLimits => {
    const limits = getLimits(account);
    const nodes = Math.max(1, countNodes());
    return buildLimits((field) => limits[field] / nodes);
  };
  const getCurrent = (account: string, nowMs: number): AccountLimits => {
    const share = uses.get(account)?.share;
    return share !== undefined && share.untilMs > nowMs ? share.limits : getFallback(account);
  };

  const admitCall: AccountLimiter['admitCall'] = (account, tokens) => {
    const nowMs = readMonotonicMs();
    const use = getUse(account, nowMs);
    const limits = getCurrent(account, nowMs);
    use.lastCallMs = nowMs;
    use.askedRequests += 1;
    use.askedTokens += tokens;
    use.peakRunning = Math.max(use.peakRunning, use.running + 1);
    // One call at a time is always allowed, or a small limit divided by many nodes would stop the account.
    const slots = Math.max(1, Math.floor(limits.concurrent));
    const even = getFallback(account);
    const delayMs = Math.max(
      getBucketDelay(use.requests, limits.requestsPerSecond, even.requestsPerSecond, nowMs),
      getBucketDelay(use.tokens, limits.tokensPerSecond, even.tokensPerSecond, nowMs),
      use.running < slots ? 0 : use.callMs / use.running,
    );
    if (delayMs > 0) {
      counts.refused += 1;
      use.wasRefused = true;
      return { kind: 'refused', retryAfterMs: Math.max(MIN_RETRY_MS, Math.ceil(delayMs)) };
    }
    counts.admitted += 1;
    use.requests.takeAmount(1);
    use.tokens.takeAmount(tokens);
    use.running += 1;
    let released = false;
    return {
      kind: 'admitted',
      release: (usedTokens = tokens) => {
        if (released) return;
        released = true;
        use.running -= 1;
        use.tokens.takeAmount(usedTokens - tokens);
        use.callMs += DURATION_GAIN * (readMonotonicMs() - nowMs - use.callMs);
      },
    };
  };

  const refreshShare = async (account: string, use: AccountUse): Promise<void> => {
    const nowMs = readMonotonicMs();
    const seconds = Math.max((nowMs - use.refreshedAtMs) / MS_PER_S, 0.1);
    const demand = {
      requestsPerSecond: use.askedRequests / seconds,
      tokensPerSecond: use.askedTokens / seconds,
      concurrent: use.peakRunning,
    };
    Object.assign(use, {
      askedRequests: 0,
      askedTokens: 0,
      peakRunning: use.running,
      refreshedAtMs: nowMs,
      wasRefused: false,
    });
    const grant = await options.askShare({ account, host: options.host, ...demand });
    if (grant === undefined) {
      counts.silentHomes += 1;
      return;
    }
    counts.shares += 1;
    // Counted from before the request was sent, so that the share ends here before it ends at the home.
    const refreshAtMs = nowMs + grant.validMs / SHARE_TIMES.refreshesPerShare;
    use.share = { limits: grant.limits, refreshAtMs, untilMs: nowMs + grant.validMs };
  };
  /** A share is refreshed when it is used and old, or used up before that. */
  const isDue = (use: AccountUse, nowMs: number): boolean => {
    const { share } = use;
    if (share === undefined || share.untilMs <= nowMs || use.wasRefused) return true;
    const seconds = Math.max((nowMs - use.refreshedAtMs) / MS_PER_S, 1);
    const { requestsPerSecond, tokensPerSecond, concurrent } = share.limits;
    const isNear =
      use.askedRequests / seconds > requestsPerSecond * NEAR_PART ||
      use.askedTokens / seconds > tokensPerSecond * NEAR_PART ||
      use.peakRunning > Math.max(1, concurrent * NEAR_PART);
    const isUsed = use.askedRequests > 0 || use.running > 0;
    return isNear || (isUsed && share.refreshAtMs - SHARE_TIMES.refreshMs / 2 <= nowMs);
  };
  const refreshShares = async (): Promise<void> => {
    const nowMs = readMonotonicMs();
    const active: Promise<void>[] = [];
    for (const [account, use] of uses) {
      const isShared = use.share !== undefined && use.share.untilMs > nowMs;
      const isIdle = use.running === 0 && nowMs - use.lastCallMs > SHARE_TIMES.idleMs;
      if (isIdle && !isShared) uses.delete(account);
      else if (isDue(use, nowMs)) active.push(refreshShare(account, use));
    }
    await Promise.all(active);
  };
  const stop = runEvery(SHARE_TIMES.refreshMs, refreshShares, options.onError);

  return {
    admitCall,
    refreshShares,
    handleShare: (request) => divider.grantShare(request, readMonotonicMs()),
    getShare: (account) => getCurrent(account, readMonotonicMs()),
    getCounts: () => ({ ...counts, accounts: uses.size }),
    close: stop,
  };
}

/**
 * Returns the delay of a bucket. A share near zero, e.g. of a node that joins while the others hold the limit, lasts until the
 * next refresh only, so that the delay at its rate would be far too long.
 */
function getBucketDelay(bucket: TokenBucket, rate: number, evenRate: number, nowMs: number): number {
  const delayMs = bucket.getDelayMs(rate, nowMs);
  if (delayMs === 0) return 0;
  return Math.min(delayMs, Math.max(SHARE_TIMES.refreshMs, bucket.getDelayMs(evenRate, nowMs)));
}
