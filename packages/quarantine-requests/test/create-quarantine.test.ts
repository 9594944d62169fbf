import test from 'ava';
import { sleep } from '@laburnumshift/clock';
import { rankMembers } from '@laburnumshift/rank-homes';
import { installClock } from '@laburnumshift/test-utils';
import { createPlatform, simulatePool } from './simulate-pool.js';

async function runWithFakeClock<T>(start: () => Promise<T>, stepMs = 20): Promise<T> {
  const clock = installClock();
  try {
    const progress = { ended: false };
    const running = start().finally(() => (progress.ended = true));
    for (let i = 0; i < 5_000 && !progress.ended; i += 1) await clock.tickAsync(stepMs);
    return await running;
  } finally {
    clock.uninstall();
  }
}

function closeAll(pool: ReturnType<typeof simulatePool>): void {
  for (const quarantine of pool.quarantines.values()) quarantine.close();
}

for (const engineCount of [3, 8]) {
  // Guards against a request that crashes every engine of a pool when its caller sends it again after each failure.
  test.serial(`a request that is sent serially crashes 2 of ${String(engineCount)} engines`, async (t) => {
    await runWithFakeClock(async () => {
      const pool = simulatePool(6, engineCount);
      const harmless = Array.from({ length: 4 * engineCount }, (_, i) =>
        pool.sendRequest(`n${String(i % 6)}`, `innocent ${String(i)}`, false),
      );
      for (let i = 0; i < 12; i += 1) {
        t.is(await pool.sendRequest(`n${String(i % 6)}`, 'poison', true), 'convicted');
      }
      t.is(pool.counts.crashes, 2);
      t.deepEqual([...new Set(await Promise.all(harmless))], ['finished']);
      await sleep(1_000);
      t.deepEqual(
        [...pool.platform.objects.keys()],
        ['conviction/poison'],
        'requests that crash nothing are cleared',
      );
      closeAll(pool);
    });
  });
}

const nodeFailures: readonly [string, number, boolean, number][] = [
  ['its home dies', 1, false, 2],
  ['its home dies while the platform is down', 1, true, 2],
  ['its home and its successor die', 2, false, 2],
  ['all nodes that know of it die while the platform is down', 3, true, 3],
];
for (const [name, killedCount, isPlatformDown, crashes] of nodeFailures) {
  // Guards against the loss of the first crash when nodes that know of it die before the second.
  test.serial(
    `a request crashes ${String(crashes)} engines when after the first crash ${name}`,
    async (t) => {
      await runWithFakeClock(async () => {
        const pool = simulatePool(6, 8);
        pool.platform.down = isPlatformDown;
        const ranked = rankMembers('poison', pool.members).map((member) => member.host);
        const entry = ranked[2] ?? '';
        t.is(await pool.sendRequest(entry, 'poison', true, 1), 'failed');
        pool.killNodes(ranked.slice(0, killedCount));
        await sleep(100);
        for (const host of ranked.slice(3)) t.is(await pool.sendRequest(host, 'poison', true), 'convicted');
        t.is(pool.counts.crashes, crashes);
        closeAll(pool);
      });
    },
  );
}

// Guards against two runs of a suspect at the same time, which would crash two more engines.
test.serial('a suspect has one run at a time over all nodes', async (t) => {
  await runWithFakeClock(async () => {
    const pool = simulatePool(6, 8);
    await pool.sendRequest('n0', 'poison', true, 1);
    const all = pool.members.map((member) => pool.sendRequest(member.host, 'poison', true));
    t.deepEqual([...new Set(await Promise.all(all))], ['convicted']);
    t.is(pool.counts.crashes, 2);
    t.is(pool.counts.maxConcurrentRuns, 1);
    closeAll(pool);
  });
});

// Guards against a claim that is lost with its home, so that a second run is permitted.
test.serial('the successor still has the claim of a run after the home dies', async (t) => {
  await runWithFakeClock(async () => {
    const pool = simulatePool(4, 3);
    const [home, successor, third] = rankMembers('f', pool.members).map((member) => member.host);
    const first = pool.quarantines.get(successor ?? '');
    const second = pool.quarantines.get(third ?? '');
    await first?.reportCrash('f', 'e0', 'p', false);
    t.like(await first?.checkRequest('f', 'r1'), { kind: 'isolate' });
    pool.killNodes([home ?? '']);
    await sleep(500);
    t.like(await second?.checkRequest('f', 'r2'), { kind: 'busy' });
    await sleep(20_000);
    t.like(
      await second?.checkRequest('f', 'r2'),
      { kind: 'busy' },
      'the claim is renewed while its run goes on',
    );
    first?.releaseRequest('f', 'r1');
    await sleep(11_000);
    t.like(await second?.checkRequest('f', 'r2'), { kind: 'isolate' });
    closeAll(pool);
  });
});

// Guards against convictions that only some nodes apply, and against convictions that never end.
test.serial('a conviction is applied by all nodes and expires', async (t) => {
  await runWithFakeClock(async () => {
    const pool = simulatePool(5, 3);
    pool.platform.down = true;
    await pool.quarantines.get('n0')?.reportCrash('f', 'e0', 'p', true);
    await sleep(100);
    t.true([...pool.quarantines.values()].every((quarantine) => quarantine.isConvicted('f')));
    await sleep(601_000);
    t.false([...pool.quarantines.values()].some((quarantine) => quarantine.isConvicted('f')));
    t.like(await pool.quarantines.get('n1')?.checkRequest('f', 'r'), { kind: 'clean' });
    closeAll(pool);
  }, 500);
});

// Guards against stored copies that are never deleted, and against convictions that are lost when all nodes restart.
test.serial('stored copies are read at start and deleted when they expire', async (t) => {
  await runWithFakeClock(async () => {
    const platform = createPlatform();
    platform.objects.set('conviction/f', { version: 1, value: { untilMs: Date.now() + 60_000 } });
    const pool = simulatePool(3, 3, platform);
    await sleep(100);
    t.true(pool.quarantines.get('n2')?.isConvicted('f'));
    await sleep(91_000);
    t.is(pool.platform.objects.size, 0);
    closeAll(pool);
  });
});

// Guards against memory that grows without bound when many requests become suspects.
test.serial('the number of suspects is bounded', async (t) => {
  await runWithFakeClock(async () => {
    const pool = simulatePool(1, 3);
    const [quarantine] = pool.quarantines.values();
    pool.platform.down = true;
    for (let i = 0; i < 10_001; i += 1) void quarantine?.reportCrash(`f${String(i)}`, 'e', 'p', false);
    await sleep(1_000);
    t.like(await quarantine?.checkRequest('f0', 'r'), { kind: 'clean' });
    t.like(await quarantine?.checkRequest('f10000', 'r'), { kind: 'isolate' });
    closeAll(pool);
  });
});
