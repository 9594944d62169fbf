import { readMonotonicMs, runEvery } from '@laburnumshift/clock';
import type { AccountLimits } from '@laburnumshift/types';
import type { AccountLimiter } from './account-limiter.js';
import type { AccountState } from './account-state.js';
import { createShareAllocator } from './create-share-allocator.js';
import { createTokenBucket } from './create-token-bucket.js';
import type { TokenBucket } from './token-bucket.js';
import type { AccountLimiterOptions } from './account-limiter-options.js';
import { buildLimits } from './build-limits.js';
import { SHARE_TIMING } from './share-timing.js';

const MS_PER_S = 1000;
/** Lower bound on the retry delay of a refused call. */
const MIN_RETRY_DELAY_MS = 20;
/** Weight of the latest call in the moving average of the call duration. */
const CALL_DURATION_GAIN = 0.1;
/** Call duration that is assumed before the first call of an account has ended. */
const INITIAL_CALL_MS = 500;
/** Usage of a share, as a fraction, above which it is refreshed early, so that it can grow before calls are refused. */
const EARLY_REFRESH_USAGE = 0.5;

/**
 * Creates the limiter of a node. The home of an account divides the account's limits among the nodes. A share is valid for 6 s; a
 * share of at most limit / nodes is valid for longer when there are many nodes. Without a valid share, that is before the first
 * answer and when the home does not answer in time, the node applies limit / nodes.
 */
export function createAccountLimiter(options: AccountLimiterOptions): AccountLimiter {
  const { getLimits, countLiveNodes: countNodes } = options;
  const shareAllocator = createShareAllocator(getLimits, countNodes);
  const accounts = new Map<string, AccountState>();
  const counts = { admitted: 0, refused: 0, shares: 0, silentHomes: 0 };

  const ensureAccount = (account: string, nowMs: number): AccountState => {
    const known = accounts.get(account);
    if (known !== undefined) return known;
    const limits = computeEvenShare(account);
    const state: AccountState = {
      requests: createTokenBucket(limits.requestsPerSecond, nowMs),
      tokens: createTokenBucket(limits.tokensPerSecond, nowMs),
      running: 0,
      meanCallMs: INITIAL_CALL_MS,
      lastCallAtMs: nowMs,
      demandedRequests: 0,
      demandedTokens: 0,
      peakRunning: 0,
      refreshedAtMs: nowMs,
      hasRefusedCalls: false,
      share: undefined,
    };
    accounts.set(account, state);
    return state;
  };
  const computeEvenShare = (account: string): AccountLimits => {
    const limits = getLimits(account);
    const nodes = Math.max(1, countNodes());
    return buildLimits((field) => limits[field] / nodes);
  };
  const getCurrentLimits = (account: string, nowMs: number): AccountLimits => {
    const share = accounts.get(account)?.share;
    return share !== undefined && share.untilMs > nowMs ? share.limits : computeEvenShare(account);
  };

  const admitCall: AccountLimiter['admitCall'] = (account, tokens) => {
    const nowMs = readMonotonicMs();
    const state = ensureAccount(account, nowMs);
    const limits = getCurrentLimits(account, nowMs);
    state.lastCallAtMs = nowMs;
    state.demandedRequests += 1;
    state.demandedTokens += tokens;
    state.peakRunning = Math.max(state.peakRunning, state.running + 1);
    // One call at a time is always allowed; otherwise a small limit divided by many nodes would block the account.
    const slots = Math.max(1, Math.floor(limits.concurrent));
    const evenShare = computeEvenShare(account);
    const delayMs = Math.max(
      computeBucketDelayMs(state.requests, limits.requestsPerSecond, evenShare.requestsPerSecond, nowMs),
      computeBucketDelayMs(state.tokens, limits.tokensPerSecond, evenShare.tokensPerSecond, nowMs),
      state.running < slots ? 0 : state.meanCallMs / state.running,
    );
    if (delayMs > 0) {
      counts.refused += 1;
      state.hasRefusedCalls = true;
      return { kind: 'refused', retryAfterMs: Math.max(MIN_RETRY_DELAY_MS, Math.ceil(delayMs)) };
    }
    counts.admitted += 1;
    state.requests.takeAmount(1);
    state.tokens.takeAmount(tokens);
    state.running += 1;
    let released = false;
    return {
      kind: 'admitted',
      release: (usedTokens = tokens) => {
        if (released) return;
        released = true;
        state.running -= 1;
        state.tokens.takeAmount(usedTokens - tokens);
        state.meanCallMs += CALL_DURATION_GAIN * (readMonotonicMs() - nowMs - state.meanCallMs);
      },
    };
  };

  const refreshShare = async (account: string, state: AccountState): Promise<void> => {
    const nowMs = readMonotonicMs();
    const seconds = Math.max((nowMs - state.refreshedAtMs) / MS_PER_S, 0.1);
    const demand = {
      requestsPerSecond: state.demandedRequests / seconds,
      tokensPerSecond: state.demandedTokens / seconds,
      concurrent: state.peakRunning,
    };
    Object.assign(state, {
      demandedRequests: 0,
      demandedTokens: 0,
      peakRunning: state.running,
      refreshedAtMs: nowMs,
      hasRefusedCalls: false,
    });
    const grant = await options.askShare({ account, host: options.host, ...demand });
    if (grant === undefined) {
      counts.silentHomes += 1;
      return;
    }
    counts.shares += 1;
    // The validity is counted from before the request was sent, so that the share ends on this node before it ends at its home.
    const refreshAtMs = nowMs + grant.validMs / SHARE_TIMING.refreshesPerShare;
    state.share = { limits: grant.limits, refreshAtMs, untilMs: nowMs + grant.validMs };
  };
  /** Tells whether to refresh a share: it has ended, a call was refused, its usage is high, or it is in use and its refresh time has come. */
  const isRefreshDue = (state: AccountState, nowMs: number): boolean => {
    const { share } = state;
    if (share === undefined || share.untilMs <= nowMs || state.hasRefusedCalls) return true;
    const seconds = Math.max((nowMs - state.refreshedAtMs) / MS_PER_S, 1);
    const { requestsPerSecond, tokensPerSecond, concurrent } = share.limits;
    const isNearLimit =
      state.demandedRequests / seconds > requestsPerSecond * EARLY_REFRESH_USAGE ||
      state.demandedTokens / seconds > tokensPerSecond * EARLY_REFRESH_USAGE ||
      state.peakRunning > Math.max(1, concurrent * EARLY_REFRESH_USAGE);
    const hasDemand = state.demandedRequests > 0 || state.running > 0;
    return isNearLimit || (hasDemand && share.refreshAtMs - SHARE_TIMING.refreshIntervalMs / 2 <= nowMs);
  };
  const refreshShares = async (): Promise<void> => {
    const nowMs = readMonotonicMs();
    const refreshes: Promise<void>[] = [];
    for (const [account, state] of accounts) {
      const hasValidShare = state.share !== undefined && state.share.untilMs > nowMs;
      const isIdle = state.running === 0 && nowMs - state.lastCallAtMs > SHARE_TIMING.idleTimeoutMs;
      if (isIdle && !hasValidShare) accounts.delete(account);
      else if (isRefreshDue(state, nowMs)) refreshes.push(refreshShare(account, state));
    }
    await Promise.all(refreshes);
  };
  const stopRefresh = runEvery(SHARE_TIMING.refreshIntervalMs, refreshShares, options.onError);

  return {
    admitCall,
    refreshShares,
    handleShareRequest: (request) => shareAllocator.grantShare(request, readMonotonicMs()),
    getCurrentLimits: (account) => getCurrentLimits(account, readMonotonicMs()),
    getCounts: () => ({ ...counts, accounts: accounts.size }),
    close: stopRefresh,
  };
}

/**
 * Returns the delay in milliseconds until a bucket permits a call. When the rate of the share is near zero, e.g. on a node that
 * joined while the other nodes hold the limit, the delay at that rate would be far too long, because the share is replaced at
 * the next refresh. The delay is therefore at most the longer of the refresh interval and the delay at the even share.
 */
function computeBucketDelayMs(bucket: TokenBucket, rate: number, evenRate: number, nowMs: number): number {
  const delayMs = bucket.getDelayMs(rate, nowMs);
  if (delayMs === 0) return 0;
  return Math.min(delayMs, Math.max(SHARE_TIMING.refreshIntervalMs, bucket.getDelayMs(evenRate, nowMs)));
}
