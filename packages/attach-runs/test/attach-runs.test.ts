import test from 'ava';
import fc from 'fast-check';
import { sleep } from '@laburnumshift/clock';
import { installClock } from '@laburnumshift/test-utils';
import type { RunItem } from '@laburnumshift/types';
import { ANSWER, collectItems, simulateNodes } from './simulate-nodes.js';

async function runPaused<T>(start: () => Promise<T>): Promise<T> {
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

/** Texts of the items, checked to be tokens of one run without gaps. */
function joinTexts(items: readonly RunItem[], offset: number): string {
  const texts = items.flatMap((item) => (item.kind === 'token' ? [item] : []));
  const runs = new Set(texts.map((token) => token.text.split(':')[0]));
  const isWhole = texts.every((token, i) => token.offset === offset + i) && runs.size <= 1;
  return isWhole ? texts.map((token) => token.text.split(':')[1]).join('') : 'mixed';
}

// Guards against a resend that runs the work again, on this node and across nodes, from any offset.
test.serial('a resend attaches to the run wherever it is', async (t) => {
  const nodes = simulateNodes(4);
  await runPaused(async () => {
    const first = collectItems(nodes.openRun(0));
    await sleep(35);
    const others = [0, 1, 2, 3].map((node) => collectItems(nodes.openRun(node, { startOffset: node * 4 })));
    t.is(joinTexts(await first, 0), ANSWER.join(''));
    for (const [node, items] of others.entries()) {
      t.is(joinTexts(await items, node * 4), ANSWER.slice(node * 4).join(''));
      t.deepEqual((await items).at(-1), { kind: 'end', end: { kind: 'finished', reason: 'stop' } });
    }
    const late = await collectItems(nodes.openRun(2));
    t.is(joinTexts(late, 0), ANSWER.join(''), 'a finished run is kept');
  });
  t.is(nodes.state.started, 1);
});

// Guards against two accounts meeting under one id, and against a reused id giving another's answer.
test.serial('ids are per account and bound to one body', async (t) => {
  const nodes = simulateNodes(3);
  await runPaused(async () => {
    const first = collectItems(nodes.openRun(0));
    await sleep(15);
    for (const node of [0, 1]) {
      const [end] = await collectItems(nodes.openRun(node, { bodyHash: 'other' }));
      t.like(end, { end: { refusal: { code: 'request_id_reused', outcome: 'not run' } } });
    }
    t.is(
      joinTexts(await collectItems(nodes.openRun(1, { account: 'b', bodyHash: 'other' })), 0),
      ANSWER.join(''),
    );
    await first;
  });
  t.is(nodes.state.started, 2);
});

// Guards against a resend that hangs or is refused because a node died.
test.serial('the resend runs again when owner or home is gone', async (t) => {
  for (const victim of [0, 1, 2]) {
    const nodes = simulateNodes(3);
    await runPaused(async () => {
      const stopper = new AbortController();
      void collectItems(nodes.openRun(0, {}, stopper.signal));
      await sleep(35);
      nodes.dead.add(`n${String(victim)}`);
      const resender = victim === 1 ? 2 : 1;
      t.is(joinTexts(await collectItems(nodes.openRun(resender)), 0), ANSWER.join(''));
      stopper.abort();
    });
    t.true(nodes.state.started <= 2);
  }
});

// Guards against mixing two runs in one answer when the owner dies under an attached reader.
test.serial('a reader whose owner dies gets an end at once, not another run', async (t) => {
  const nodes = simulateNodes(3);
  const items = await runPaused(async () => {
    void collectItems(nodes.openRun(0));
    await sleep(25);
    const reading = collectItems(nodes.openRun(1));
    await sleep(30);
    nodes.dead.add('n0');
    return reading;
  });
  t.like(items.at(-1), { kind: 'end', end: { kind: 'refused', refusal: { outcome: 'ran' } } });
  t.not(joinTexts(items, 0), 'mixed');
});

// Guards against work for nobody, and against losing a run that its caller is about to ask for again.
test.serial('a run without readers goes on for a bounded time when it has a name', async (t) => {
  const nodes = simulateNodes(1, { orphanMs: 50 });
  await runPaused(async () => {
    await collectItems(nodes.openRun(0), 2);
    await sleep(30);
    t.is(joinTexts(await collectItems(nodes.openRun(0)), 0), ANSWER.join(''));
    t.is(nodes.state.started, 1);
    await collectItems(nodes.openRun(0, { requestId: 'left' }), 2);
    await sleep(100);
    t.is(nodes.state.aborted, 1);
    await collectItems(nodes.openRun(0, { requestId: 'unnamed', named: false }), 2);
    await sleep(1);
    t.is(nodes.state.aborted, 2);
    t.is(nodes.registries[0]?.getCounts().running, 0);
  });
});

// Guards against unbounded memory, by time, by number and by slow readers.
test.serial('kept output is bounded', async (t) => {
  const nodes = simulateNodes(1, { keepMs: 1_000, keepBytes: 2_000, maxRunBytes: 200 });
  await runPaused(async () => {
    for (let i = 0; i < 20; i += 1) await collectItems(nodes.openRun(0, { requestId: String(i) }));
    const counts = nodes.registries[0]?.getCounts();
    t.true(counts !== undefined && counts.keptBytes <= 2_000 && counts.kept > 0);
    await sleep(1_100);
    t.like(nodes.registries[0]?.getCounts(), { kept: 0, keptBytes: 0, running: 0 });
    const slow: RunItem[] = [];
    for await (const item of nodes.openRun(0)) {
      slow.push(item);
      await sleep(60);
    }
    t.like(slow.at(-1), { end: { refusal: { code: 'overloaded' } } });
  });
});

// Guards against gaps, overlaps or mixed runs under any order of resends, offsets, aborts and deaths.
test.serial('each reader gets a gapless part of one run', async (t) => {
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
      const results = await runPaused(() =>
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
        const text = joinTexts(items, startOffset);
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
