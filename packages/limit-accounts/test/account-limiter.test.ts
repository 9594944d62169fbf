import test from 'ava';
import type { ExecutionContext } from 'ava';
import fc from 'fast-check';
import { createAccountLimiter, SHARE_TIMES } from '@laburnumshift/limit-accounts';
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

/** Builds nodes that ask the node with the number `home(i)`; `undefined` stands for a silent home. */
const createNodes = (home: (node: number) => number | undefined): AccountLimiter[] => {
  const nodes: AccountLimiter[] = [];
  for (let i = 0; i < NODES; i += 1) {
    const askShare = (request: Parameters<AccountLimiter['handleShare']>[0]) =>
      Promise.resolve(nodes[home(i) ?? -1]?.handleShare(request));
    const base = { host: `n${String(i)}`, getLimits: () => LIMIT, countNodes: () => NODES };
    nodes.push(createAccountLimiter({ ...base, askShare, onError: () => undefined }));
  }
  return nodes;
};
const computeTotal = (nodes: readonly AccountLimiter[]): number =>
  nodes.reduce((sum, node) => sum + node.getShare('a').requestsPerSecond, 0);
const closeNodes = (nodes: readonly AccountLimiter[]): void => {
  for (const node of nodes) node.close();
};

// Guards against an account being held to limit / nodes when its calls arrive at few nodes.
test.serial('shares follow demand', async (t) => {
  const clock = startClock(t);
  const nodes = createNodes(() => 0);
  for (let i = 0; i < 200; i += 1) {
    nodes[1]?.admitCall('a', 10);
    await clock.tickAsync(100);
  }
  t.true((nodes[1]?.getShare('a').requestsPerSecond ?? 0) >= 20);
  nodes[2]?.admitCall('a', 10);
  await clock.tickAsync(6000);
  t.true((nodes[2]?.getShare('a').requestsPerSecond ?? 0) > 1);
  closeNodes(nodes);
});

// Guards against a node that stops or loses its limits when the home is silent.
test.serial('a silent home leads to limit / nodes after 6 s', async (t) => {
  const clock = startClock(t);
  let silent = false;
  const nodes = createNodes(() => (silent ? undefined : 0));
  const callBusily = async (rounds: number): Promise<void> => {
    for (let i = 0; i < rounds; i += 1) {
      for (let k = 0; k < 8; k += 1) nodes[1]?.admitCall('a', 10);
      await clock.tickAsync(100);
    }
  };
  await callBusily(140);
  const last = nodes[1]?.getShare('a').requestsPerSecond ?? 0;
  t.true(last > 90);
  silent = true;
  await callBusily(35);
  t.is(nodes[1]?.getShare('a').requestsPerSecond, last);
  await callBusily(35);
  t.is(nodes[1]?.getShare('a').requestsPerSecond, LIMIT.requestsPerSecond / NODES);
  closeNodes(nodes);
});

// Guards against a total above the stated bound under silence, changes of home and two homes at once.
test.serial('the total stays below the stated bound', async (t) => {
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
    let greatest = 0;
    for (const [index, { caller, calls, silent: next, ms }] of steps.entries()) {
      silent = next;
      if (mode === 'moving' && index >= steps.length / 2) moved = 1;
      for (const node of nodes) node.admitCall('a', 1);
      for (let i = 0; i < calls; i += 1) nodes[caller]?.admitCall('a', 1);
      await clock.tickAsync(ms);
      greatest = Math.max(greatest, computeTotal(nodes));
    }
    closeNodes(nodes);
    return greatest / LIMIT.requestsPerSecond;
  };
  const modes = fc.constantFrom('one' as const, 'two' as const, 'moving' as const);
  await fc.assert(
    fc.asyncProperty(modes, fc.array(step, { maxLength: 12 }), async (mode, steps) => {
      t.true((await run(mode, steps)) < (mode === 'two' ? 3 : 2));
    }),
    { seed: 5, numRuns: 90 },
  );
});

// Guards against a retry time at which the call is refused again, and against lost slots.
test.serial('calls over the limit are told when to retry', async (t) => {
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

// Guards against callers who wait a minute because a node that has just joined was given a share of zero.
test.serial('a share of zero is told to last until the next refresh', async (t) => {
  startClock(t);
  const limits = { requestsPerSecond: 0, tokensPerSecond: 0, concurrent: 0 };
  const node = createAccountLimiter({
    host: 'n0',
    getLimits: () => LIMIT,
    countNodes: () => NODES,
    askShare: ({ account }) => Promise.resolve({ account, limits, validMs: SHARE_TIMES.validMs }),
    onError: () => undefined,
  });
  const permit = node.admitCall('a', 1);
  if (permit.kind === 'admitted') permit.release();
  await node.refreshShares();
  // A bucket may go into debt by one call.
  t.is(node.admitCall('a', 1).kind, 'admitted');
  const refused = node.admitCall('a', 1);
  if (refused.kind !== 'refused') throw new Error('not refused');
  t.true(refused.retryAfterMs <= SHARE_TIMES.refreshMs);
  node.close();
});
