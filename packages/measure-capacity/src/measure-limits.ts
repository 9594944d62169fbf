import { createAccountLimiter, type AccountLimiter } from '@laburnumshift/limit-accounts';
import type { ShareRequest } from '@laburnumshift/types';
import { measureHeap } from './measure-heap.js';
import type { Point } from './point.js';
import type { Series } from './series.js';
import { measureTime } from './measure-time.js';
import { measureProcessorTime } from './measure-processor-time.js';

const ASKERS = [2, 8, 32, 128, 470];
const ACCOUNTS = [10, 100, 1000, 4100];
const LIMITS = { requestsPerSecond: 1e7, tokensPerSecond: 1e10, concurrent: 1e6 };

/** Measures the shares of account limits: at the home by askers, at the entry node by accounts in use. */
export async function measureLimits(): Promise<readonly Series[]> {
  const homes = ASKERS.map((x): Point => {
    const home = createLimiter();
    const requests = Array.from({ length: x }, (_, i) => buildRequest('account-0001', i));
    const y = measureTime((turn) => {
      const request = requests[turn % x];
      return request === undefined ? undefined : home.handleShareRequest(request);
    });
    home.close();
    return { x, y };
  });
  const refreshes: Point[] = [];
  const askerMemory: Point[] = [];
  const useMemory: Point[] = [];
  for (const x of ACCOUNTS) {
    const limiter = createLimiter();
    const admitAll = (): void => {
      for (let i = 0; i < x; i += 1) admitOne(limiter, `account-${String(i)}`);
    };
    admitAll();
    refreshes.push({ x, y: await measureProcessorTime(10, () => limiter.refreshShares()) });
    limiter.close();
    useMemory.push({
      x,
      y: await measureHeap(() => {
        const held = createLimiter();
        for (let i = 0; i < x; i += 1) admitOne(held, `account-${String(i)}`);
        held.close();
        return held;
      }),
    });
    askerMemory.push({
      x,
      y: await measureHeap(() => {
        const held = createLimiter();
        for (let i = 0; i < x; i += 1) held.handleShareRequest(buildRequest(`account-${String(i % 9)}`, i));
        held.close();
        return held;
      }),
    });
  }
  const limiter = createLimiter();
  const admit = measureTime((turn) => {
    admitOne(limiter, `account-${String(turn % 1000)}`);
  });
  limiter.close();
  return [
    { name: 'answer a share request', unit: 'us', per: 'askers of the account', points: homes },
    { name: 'refresh all shares', unit: 'us', per: 'accounts in use', points: refreshes },
    { name: 'admit and release a call', unit: 'us', per: 'calls', points: [{ x: 1, y: admit }] },
    { name: 'memory of accounts in use', unit: 'bytes', per: 'accounts in use', points: useMemory },
    { name: 'memory of askers at the home', unit: 'bytes', per: 'askers', points: askerMemory },
  ];
}

function createLimiter(): AccountLimiter {
  return createAccountLimiter({
    host: 'entry-0000',
    getLimits: () => LIMITS,
    countLiveNodes: () => 470,
    askShare: ({ account }) => Promise.resolve({ account, limits: LIMITS, validMs: 6000 }),
    onError: () => undefined,
  });
}

function admitOne(limiter: AccountLimiter, account: string): void {
  const permit = limiter.admitCall(account, 1000);
  if (permit.kind === 'admitted') permit.release();
}

function buildRequest(account: string, asker: number): ShareRequest {
  const demand = { requestsPerSecond: 0.5, tokensPerSecond: 500, concurrent: 1 };
  return { account, host: `entry-${String(asker).padStart(4, '0')}`, ...demand };
}
