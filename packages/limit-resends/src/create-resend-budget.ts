import { readMonotonicMs } from '@laburnumshift/clock';
import type { ResendBudget } from './resend-budget.js';
import type { ResendLimits } from './resend-limits.js';
import type { ResendShare } from './resend-share.js';

/** Number of buckets into which the sliding window is divided. */
const BUCKETS = 10;

interface Bucket {
  index: number;
  calls: number;
  resends: number;
}

/**
 * Creates the resend budget of one owner: a host, or a home host on behalf of the hosts that ask it to place calls. An owner's resends
 * are limited by the calls that it counts itself, so the sum over all owners keeps the ratio of the fleet without any communication.
 * The slack is divided by the number of registered hosts. An owner has none of it in its first window unless the whole fleet starts for
 * the first time: an earlier process of the same host may have used it up.
 */
export function createResendBudget(
  limits: ResendLimits,
  getShare: () => ResendShare,
  isFirstStart = false,
): ResendBudget {
  const bucketMs = limits.windowMs / BUCKETS;
  const startedMs = readMonotonicMs();
  const bucketsByService = new Map<string, Bucket[]>();

  const selectBuckets = (service: string): { readonly buckets: Bucket[]; readonly current: Bucket } => {
    const index = Math.floor(readMonotonicMs() / bucketMs);
    // The oldest bucket still covers a part of the window, in which its resends may lie.
    const buckets = (bucketsByService.get(service) ?? []).filter((bucket) => bucket.index >= index - BUCKETS);
    bucketsByService.set(service, buckets);
    const last = buckets.at(-1);
    if (last?.index === index) return { buckets, current: last };
    const current = { index, calls: 0, resends: 0 };
    buckets.push(current);
    return { buckets, current };
  };

  const hasResend = ({ buckets, current }: ReturnType<typeof selectBuckets>): boolean => {
    const calls = buckets
      .filter(({ index }) => index > current.index - BUCKETS)
      .reduce((sum, bucket) => sum + bucket.calls, 0);
    const resends = buckets.reduce((sum, bucket) => sum + bucket.resends, 0);
    const { ratio, slack } = getShare();
    const hasSlack = isFirstStart || readMonotonicMs() - startedMs >= limits.windowMs;
    return resends + 1 <= calls * limits.ratio * ratio + (hasSlack ? limits.slack * slack : 0);
  };

  return {
    recordCall: (service) => {
      selectBuckets(service).current.calls += 1;
    },
    hasResend: (service) => hasResend(selectBuckets(service)),
    takeResend: (service) => {
      const selected = selectBuckets(service);
      if (!hasResend(selected)) return false;
      selected.current.resends += 1;
      return true;
    },
  };
}
