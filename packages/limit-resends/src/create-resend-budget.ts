import { readMonotonicMs } from '@laburnumshift/clock';
import type { ResendBudget } from './resend-budget.js';
import type { ResendLimits } from './resend-limits.js';

/** Parts of a window that are counted by themselves. */
const PARTS = 10;
/** Share of the ratio that is used: leaves room for calls that are counted at another edge of the window. */
const RATIO_SHARE = 0.8;
/** Hosts that may share the slack without knowing of each other. */
const SLACK_HOSTS = 16;

interface Part {
  index: number;
  calls: number;
  resends: number;
}

/**
 * Creates the budget of one host. Each host earns repeats only by its own calls, so the sum over all hosts keeps the
 * fleet's ratio whatever the hosts know of each other.
 */
export function createResendBudget(limits: ResendLimits): ResendBudget {
  const partMs = limits.windowMs / PARTS;
  const partsByService = new Map<string, Part[]>();

  const selectParts = (service: string): { readonly parts: Part[]; readonly current: Part } => {
    const index = Math.floor(readMonotonicMs() / partMs);
    const parts = (partsByService.get(service) ?? []).filter((part) => part.index > index - PARTS);
    partsByService.set(service, parts);
    const last = parts.at(-1);
    if (last?.index === index) return { parts, current: last };
    const current = { index, calls: 0, resends: 0 };
    parts.push(current);
    return { parts, current };
  };

  return {
    recordCall: (service) => {
      selectParts(service).current.calls += 1;
    },
    takeResend: (service) => {
      const { parts, current } = selectParts(service);
      const calls = parts.reduce((sum, part) => sum + part.calls, 0);
      const resends = parts.reduce((sum, part) => sum + part.resends, 0);
      if (resends + 1 > calls * limits.ratio * RATIO_SHARE + limits.slack / SLACK_HOSTS) return false;
      current.resends += 1;
      return true;
    },
  };
}
