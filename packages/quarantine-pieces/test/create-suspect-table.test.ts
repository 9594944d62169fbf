import { createSuspectTable, type SuspectTable } from '@laburnumshift/quarantine-pieces';
import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';

const SETTLE_MS = 200;
const PIECE = [{ trait: 'm/d', position: 1 }];

const openTable = (t: ExecutionContext, hosts = 1) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const table = createSuspectTable(
    () => hosts,
    () => 0.5,
  );
  let crashes = 0;
  const recordCrash = async (traits = PIECE): Promise<void> => {
    crashes += 1;
    table.recordCrash({ server: `e${String(crashes)}`, bornMs: 1, atMs: performance.now() }, traits);
    await clock.tickAsync(SETTLE_MS);
  };
  return { clock, table, recordCrash };
};
const readRetryAfter = (table: SuspectTable): number => {
  const verdict = table.checkTraits(PIECE);
  return verdict.kind === 'refused' ? verdict.retryAfterMs : 0;
};

test.serial(
  'guards against refusing an innocent piece for long that was on three crashed engines in a row',
  async (t) => {
    const { clock, table, recordCrash } = openTable(t);
    for (let crash = 0; crash < 3; crash += 1) {
      await recordCrash();
      await clock.tickAsync(1000);
    }
    t.is(table.checkTraits(PIECE).kind, 'refused');
    await clock.tickAsync(readRetryAfter(table));
    t.is(table.checkTraits(PIECE).kind, 'trial');
    table.startTrial(PIECE);
    t.is(table.checkTraits(PIECE).kind, 'refused', 'one call at a time tests the piece');
    table.recordSurvival(PIECE, performance.now() + 1);
    await clock.tickAsync(SETTLE_MS);
    t.is(table.checkTraits(PIECE).kind, 'allowed');
  },
);

test.serial(
  'guards against testing a deadly piece more than three times after its fifth crash on one day',
  async (t) => {
    const { clock, table, recordCrash } = openTable(t, 8);
    const dayMs = 24 * 3_600_000;
    let crashes = 0;
    const startMs = performance.now();
    while (performance.now() - startMs < dayMs) {
      if (table.checkTraits(PIECE).kind !== 'refused') {
        table.startTrial(PIECE);
        await recordCrash();
        crashes += 1;
      }
      await clock.tickAsync(Math.max(300, readRetryAfter(table)));
    }
    t.true(crashes <= 8, `${String(crashes)} crashes`);
  },
);

test.serial('guards against a trial of each host at the same time', async (t) => {
  const { clock, table, recordCrash } = openTable(t, 470);
  await recordCrash();
  await clock.tickAsync(1000);
  await recordCrash();
  t.true(readRetryAfter(table) > 60_000);
});

test.serial('guards against a caller who fills the table with new pieces to hide a deadly one', async (t) => {
  const { clock, table, recordCrash } = openTable(t);
  await recordCrash([...PIECE, { trait: 'm/first', position: 0 }]);
  for (let flood = 0; flood < 100; flood += 1) {
    const traits = Array.from({ length: 60 }, (_, index) => ({
      trait: `m/${String(flood)}-${String(index)}`,
      position: -1,
    }));
    await recordCrash(traits);
  }
  t.true(table.listSuspects(-Infinity, true).length <= 2048);
  await clock.tickAsync(1000);
  await recordCrash();
  t.is(table.checkTraits(PIECE).kind, 'refused');
});

test.serial('guards against evidence that arrives after a served call is forgotten', async (t) => {
  const { clock, table } = openTable(t);
  const atMs = performance.now();
  await clock.tickAsync(50);
  table.recordSurvival(PIECE, performance.now());
  await clock.tickAsync(50);
  const suspect = { ...PIECE[0], trait: 'm/d', position: 1, clearedAtMs: -Infinity, trialAtMs: -Infinity };
  table.mergeSuspects([
    {
      ...suspect,
      crashes: [
        { server: 'a', bornMs: 1, atMs: atMs - 600 },
        { server: 'b', bornMs: 1, atMs },
      ],
    },
  ]);
  await clock.tickAsync(SETTLE_MS);
  t.is(table.checkTraits(PIECE).kind, 'allowed');
  t.true(table.listSuspects(-Infinity, false)[0]?.clearedAtMs !== -Infinity, 'other hosts are told');
});

test.serial('guards against a conviction that never ends although nobody sends such calls', async (t) => {
  const { clock, table, recordCrash } = openTable(t);
  await recordCrash();
  await clock.tickAsync(1000);
  await recordCrash();
  t.is(table.countConvicted(), 1);
  await clock.tickAsync(25 * 3_600_000);
  t.deepEqual(table.listSuspects(-Infinity, true), []);
  t.is(table.countConvicted(), 0);
  t.is(table.checkTraits(PIECE).kind, 'allowed');
});

test.serial('guards against many crashes at once that push out the evidence of earlier ones', async (t) => {
  const { clock, table, recordCrash } = openTable(t);
  await recordCrash();
  await clock.tickAsync(1000);
  for (let crash = 0; crash < 30; crash += 1)
    table.recordCrash({ server: `f${String(crash)}`, bornMs: 1, atMs: performance.now() + crash }, PIECE);
  await clock.tickAsync(SETTLE_MS);
  t.is(table.checkTraits(PIECE).kind, 'refused');
});

test.serial('guards against an explained verdict other than that of the call', async (t) => {
  const { clock, table, recordCrash } = openTable(t);
  t.deepEqual(table.readVerdict(PIECE), { kind: 'allowed' });
  for (let crash = 0; crash < 3; crash += 1) {
    await recordCrash();
    await clock.tickAsync(1000);
  }
  const verdict = table.readVerdict(PIECE);
  t.is(verdict.kind, 'refused');
  t.deepEqual(verdict, table.checkTraits(PIECE));
  await clock.tickAsync(readRetryAfter(table));
  t.is(table.readVerdict(PIECE).kind, 'trial');
});
