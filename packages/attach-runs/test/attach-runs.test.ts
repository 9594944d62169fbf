import test from 'ava';
import fc from 'fast-check';
import { sleep } from '@laburnumshift/clock';
import { installClock } from '@laburnumshift/test-utils';
import type { RunOutputItem } from '@laburnumshift/types';
import { ANSWER, collectItems, simulateNodes } from './simulate-nodes.js';

async function runWithFakeClock<T>(start: () => Promise<T>): Promise<T> {
  const clock = installClock();
  try {
    const progress = { ended: false };
    const running = start().finally(() => (progress.ended = true));
    for (let i = 0; i < 3_000 && !progress.ended; i += 1) await clock.tickAsync(10);
    return await running;
  } finally {
    clock.uninstall();
  }
}

/** Joins the texts of the tokens; returns `mixed` when the tokens have gaps or belong to more than one run. */
function joinTokens(items: readonly RunOutputItem[], offset: number): string {
  const texts = items.flatMap((item) => (item.kind === 'token' ? [item] : []));
  const runs = new Set(texts.map((token) => token.text.split(':')[0]));
  const isWhole = texts.every((token, i) => token.offset === offset + i) && runs.size <= 1;
  return isWhole ? texts.map((token) => token.text.split(':')[1]).join('') : 'mixed';
}

// Guards against a resend that starts a second run, on the same node or another one, from any offset.
test.serial('a resend on any node attaches to the existing run', async (t) => {
  const nodes = simulateNodes(4);
  await runWithFakeClock(async () => {
    const first = collectItems(nodes.openRun(0));
    await sleep(35);
    const others = [0, 1, 2, 3].map((node) => collectItems(nodes.openRun(node, { startOffset: node * 4 })));
    t.is(joinTokens(await first, 0), ANSWER.join(''));
    for (const [node, items] of others.entries()) {
      t.is(joinTokens(await items, node * 4), ANSWER.slice(node * 4).join(''));
      t.deepEqual((await items).at(-1), { kind: 'end', end: { kind: 'finished', reason: 'stop' } });
    }
    const late = await collectItems(nodes.openRun(2));
    t.is(joinTokens(late, 0), ANSWER.join(''), 'a finished run is kept');
  });
  t.is(nodes.state.started, 1);
});

// Guards against sharing a run between two accounts with the same id, and against answering another body with the run of
// an id.
test.serial('a request id names one body of one account', async (t) => {
  const nodes = simulateNodes(3);
  await runWithFakeClock(async () => {
    const first = collectItems(nodes.openRun(0));
    await sleep(15);
    for (const node of [0, 1]) {
      const [end] = await collectItems(nodes.openRun(node, { bodyHash: 'other' }));
      t.like(end, { end: { refusal: { code: 'request_id_reused', outcome: 'not run' } } });
    }
    t.is(
      joinTokens(await collectItems(nodes.openRun(1, { account: 'b', bodyHash: 'other' })), 0),
      ANSWER.join(''),
    );
    await first;
  });
  t.is(nodes.state.started, 2);
});

// Guards against a resend that hangs or is refused because a node has died.
test.serial('a resend runs again when the owner of the run or the home of its id is dead', async (t) => {
  for (const victim of [0, 1, 2]) {
    const nodes = simulateNodes(3);
    await runWithFakeClock(async () => {
      const stopper = new AbortController();
      void collectItems(nodes.openRun(0, {}, stopper.signal));
      await sleep(35);
      nodes.dead.add(`n${String(victim)}`);
      const resender = victim === 1 ? 2 : 1;
      t.is(joinTokens(await collectItems(nodes.openRun(resender)), 0), ANSWER.join(''));
      stopper.abort();
    });
    t.true(nodes.state.started <= 2);
  }
});

// Guards against mixing two runs in one answer when the owner dies while a reader on another node is attached.
test.serial('a reader gets a refusal, not another run, when the owner of its run dies', async (t) => {
  const nodes = simulateNodes(3);
  const items = await runWithFakeClock(async () => {
    void collectItems(nodes.openRun(0));
    await sleep(25);
    const reading = collectItems(nodes.openRun(1));
    await sleep(30);
    nodes.dead.add('n0');
    return reading;
  });
  t.like(items.at(-1), { kind: 'end', end: { kind: 'refused', refusal: { outcome: 'ran' } } });
  t.not(joinTokens(items, 0), 'mixed');
});

// Guards against runs that go on without any reader, and against aborting a run that its caller is about to resend.
test.serial(
  'a run without readers goes on for a bounded time when its caller chose the id, otherwise it is aborted',
  async (t) => {
    const nodes = simulateNodes(1, { orphanTimeoutMs: 50 });
    await runWithFakeClock(async () => {
      await collectItems(nodes.openRun(0), 2);
      await sleep(30);
      t.is(joinTokens(await collectItems(nodes.openRun(0)), 0), ANSWER.join(''));
      t.is(nodes.state.started, 1);
      await collectItems(nodes.openRun(0, { requestId: 'left' }), 2);
      await sleep(100);
      t.is(nodes.state.aborted, 1);
      await collectItems(nodes.openRun(0, { requestId: 'unnamed', hasCallerId: false }), 2);
      await sleep(1);
      t.is(nodes.state.aborted, 2);
      t.is(nodes.registries[0]?.getCounts().running, 0);
    });
  },
);

// Guards against unbounded memory for finished runs and for slow readers.
test.serial('buffered output is bounded by age and size', async (t) => {
  const nodes = simulateNodes(1, { finishedRunLifetimeMs: 1_000, maxFinishedBytes: 2_000, maxRunBytes: 200 });
  await runWithFakeClock(async () => {
    for (let i = 0; i < 20; i += 1) await collectItems(nodes.openRun(0, { requestId: String(i) }));
    const counts = nodes.registries[0]?.getCounts();
    t.true(counts !== undefined && counts.keptBytes <= 2_000 && counts.kept > 0);
    await sleep(1_100);
    t.like(nodes.registries[0]?.getCounts(), { kept: 0, keptBytes: 0, running: 0 });
    const slow: RunOutputItem[] = [];
    for await (const item of nodes.openRun(0)) {
      slow.push(item);
      await sleep(60);
    }
    t.like(slow.at(-1), { end: { refusal: { code: 'overloaded' } } });
  });
});

// Guards against gaps, overlaps and mixed runs under any order of resends, offsets, aborts and node failures.
test.serial('each reader gets consecutive tokens of one run', async (t) => {
  const reader = fc.record({
    node: fc.nat({ max: 3 }),
    startOffset: fc.nat({ max: ANSWER.length }),
    delayMs: fc.nat({ max: 200 }),
    wanted: fc.constantFrom(2, Infinity),
  });
  const death = fc.option(fc.record({ node: fc.nat({ max: 3 }), atMs: fc.nat({ max: 200 }) }));
  const property = fc.asyncProperty(
    fc.array(reader, { minLength: 1, maxLength: 6 }),
    death,
    async (readers, kill) => {
      const nodes = simulateNodes(4);
      const results = await runWithFakeClock(() =>
        Promise.all([
          ...readers.map(async ({ node, startOffset, delayMs, wanted }) => {
            await sleep(delayMs);
            return {
              node,
              startOffset,
              wanted,
              items: await collectItems(nodes.openRun(node, { startOffset }), wanted),
            };
          }),
          sleep(kill?.atMs ?? 0).then(() => {
            if (kill) nodes.dead.add(`n${String(kill.node)}`);
          }),
        ]),
      );
      for (const result of results) {
        if (result === undefined) continue;
        const { startOffset, wanted, items } = result;
        const text = joinTokens(items, startOffset);
        if (!ANSWER.slice(startOffset).join('').startsWith(text)) return false;
        const end = items.at(-1);
        const isCut = end?.kind === 'end' && end.end.kind === 'refused';
        if (wanted === Infinity && !isCut && text !== ANSWER.slice(startOffset).join('')) return false;
        if (isCut && kill === null) return false;
      }
      return true;
    },
  );
  await t.notThrowsAsync(fc.assert(property, { seed: 90_210, numRuns: 150 }));
});
