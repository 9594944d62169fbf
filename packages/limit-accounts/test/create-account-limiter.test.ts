import test from 'ava';
import type { ExecutionContext } from 'ava';
import fc from 'fast-check';
import { createAccountLimiter, SHARE_TIMING } from '@laburnumshift/limit-accounts';
import type { AccountLimiter } from '@laburnumshift/limit-accounts';
import { installClock } from '@laburnumshift/test-utils';

const startClock = (t: ExecutionContext): ReturnType<typeof installClock> => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  return clock;
};

const LIMIT = { requestsPerSecond: 100, tokensPerSecond: 100_000, concurrent: 40 };
const NODES = 8;

/** Creates limiters of nodes; node `i` requests its shares from node `home(i)`, or gets no answer when that is `undefined`. */
const createNodes = (home: (node: number) => number | undefined): AccountLimiter[] => {
  const nodes: AccountLimiter[] = [];
  for (let i = 0; i < NODES; i += 1) {
    const askShare = (request: Parameters<AccountLimiter['handleShareRequest']>[0]) =>
      Promise.resolve(nodes[home(i) ?? -1]?.handleShareRequest(request));
    const base = { host: `n${String(i)}`, getLimits: () => LIMIT, countLiveNodes: () => NODES };
    nodes.push(createAccountLimiter({ ...base, askShare, onError: () => undefined }));
  }
  return nodes;
};
const computeShareSum = (nodes: readonly AccountLimiter[]): number =>
  nodes.reduce((sum, node) => sum + node.getCurrentLimits('a').requestsPerSecond, 0);
const closeNodes = (nodes: readonly AccountLimiter[]): void => {
  for (const node of nodes) node.close();
};

// Guards against an account that gets limit / nodes only, although its calls arrive at few nodes.
test.serial('a node with demand gets more than limit / nodes, and a new node gets a share', async (t) => {
  const clock = startClock(t);
  const nodes = createNodes(() => 0);
  for (let i = 0; i < 200; i += 1) {
    nodes[1]?.admitCall('a', 10);
    await clock.tickAsync(100);
  }
  t.true((nodes[1]?.getCurrentLimits('a').requestsPerSecond ?? 0) >= 20);
  nodes[2]?.admitCall('a', 10);
  await clock.tickAsync(6000);
  t.true((nodes[2]?.getCurrentLimits('a').requestsPerSecond ?? 0) > 1);
  closeNodes(nodes);
});

// Guards against a node that refuses all calls, or applies no limit, when the home does not answer.
test.serial('a node applies limit / nodes 6 s after its home stopped answering', async (t) => {
  const clock = startClock(t);
  let silent = false;
  const nodes = createNodes(() => (silent ? undefined : 0));
  const makeCalls = async (rounds: number): Promise<void> => {
    for (let i = 0; i < rounds; i += 1) {
      for (let k = 0; k < 8; k += 1) nodes[1]?.admitCall('a', 10);
      await clock.tickAsync(100);
    }
  };
  await makeCalls(140);
  const last = nodes[1]?.getCurrentLimits('a').requestsPerSecond ?? 0;
  t.true(last > 90);
  silent = true;
  await makeCalls(35);
  t.is(nodes[1]?.getCurrentLimits('a').requestsPerSecond, last);
  await makeCalls(35);
  t.is(nodes[1]?.getCurrentLimits('a').requestsPerSecond, LIMIT.requestsPerSecond / NODES);
  closeNodes(nodes);
});

// Guards against shares of all nodes that sum to more than the bound stated in the README when homes do not answer, when the home
// changes, and when there are two homes at once.
test.serial('the shares of all nodes sum to less than the stated bound', async (t) => {
  const clock = startClock(t);
  const step = fc.record({
    caller: fc.nat(NODES - 1),
    calls: fc.nat(60),
    silent: fc.nat(255),
    ms: fc.nat(3000),
  });
  const run = async (
    mode: 'one' | 'two' | 'moving',
    steps: readonly { caller: number; calls: number; silent: number; ms: number }[],
  ) => {
    let silent = 0;
    let moved = 0;
    const nodes = createNodes((node) => {
      if ((silent >> node) & 1) return undefined;
      return mode === 'two' ? node % 2 : moved;
    });
    let maxTotal = 0;
    for (const [index, { caller, calls, silent: next, ms }] of steps.entries()) {
      silent = next;
      if (mode === 'moving' && index >= steps.length / 2) moved = 1;
      for (const node of nodes) node.admitCall('a', 1);
      for (let i = 0; i < calls; i += 1) nodes[caller]?.admitCall('a', 1);
      await clock.tickAsync(ms);
      maxTotal = Math.max(maxTotal, computeShareSum(nodes));
    }
    closeNodes(nodes);
    return maxTotal / LIMIT.requestsPerSecond;
  };
  const modes = fc.constantFrom('one' as const, 'two' as const, 'moving' as const);
  await fc.assert(
    fc.asyncProperty(modes, fc.array(step, { maxLength: 12 }), async (mode, steps) => {
      t.true((await run(mode, steps)) < (mode === 'two' ? 3 : 2));
    }),
    { seed: 5, numRuns: 90 },
  );
});

// Guards against a retry delay after which the call is refused again, and against calls that still count after they were released.
test.serial('a refused call is admitted after the stated retry delay', async (t) => {
  const clock = startClock(t);
  const [node] = createNodes(() => undefined);
  const permits = Array.from({ length: 5 }, () => node?.admitCall('a', 1));
  for (const permit of permits) if (permit?.kind === 'admitted') permit.release();
  const large = node?.admitCall('a', 20_000);
  t.is(large?.kind, 'admitted');
  const refused = node?.admitCall('a', 1);
  if (refused?.kind !== 'refused') throw new Error('not refused');
  await clock.tickAsync(refused.retryAfterMs);
  t.is(node?.admitCall('a', 1).kind, 'admitted');
  node?.close();
});

// Guards against a retry delay of a minute on a node that has just joined and was granted a share of zero.
test.serial('with a share of zero the retry delay is at most the refresh interval', async (t) => {
  startClock(t);
  const limits = { requestsPerSecond: 0, tokensPerSecond: 0, concurrent: 0 };
  const node = createAccountLimiter({
    host: 'n0',
    getLimits: () => LIMIT,
    countLiveNodes: () => NODES,
    askShare: ({ account }) => Promise.resolve({ account, limits, validMs: SHARE_TIMING.validMs }),
    onError: () => undefined,
  });
  const permit = node.admitCall('a', 1);
  if (permit.kind === 'admitted') permit.release();
  await node.refreshShares();
  // The balance of a bucket may go below zero by one call.
  t.is(node.admitCall('a', 1).kind, 'admitted');
  const refused = node.admitCall('a', 1);
  if (refused.kind !== 'refused') throw new Error('not refused');
  t.true(refused.retryAfterMs <= SHARE_TIMING.refreshIntervalMs);
  node.close();
});
