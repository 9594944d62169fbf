import type { BackendEntry, ProbeResult } from '@laburnumshift/forward-types';
import { createCrashDetector, type ServerCrash } from '@laburnumshift/quarantine-pieces';
import { installClock } from '@laburnumshift/test-utils';
import test from 'ava';

const SERVER: BackendEntry = {
  id: 'e',
  service: 'models',
  address: '127.0.0.1:1',
  failureDomain: 'north',
  slots: 8,
  isDraining: false,
  bornMs: 5000,
  versions: new Map(),
  orderMark: undefined,
};
const ALIVE = { kind: 'alive', waiting: 0, running: 0, runs: undefined } as const;
const CASES: Readonly<
  Record<string, readonly [probes: readonly ProbeResult[], crashes: number, bornMs?: number]>
> = {
  'a refused connection is a crash': [[{ kind: 'silent', isRefused: true }], 1],
  'another process at the address is a crash': [[{ kind: 'gone' }], 1],
  'a later process with the same id is a crash': [[{ ...ALIVE, bornMs: 6000 }], 1],
  'the same process is no crash': [[{ ...ALIVE, bornMs: 5000 }], 0],
  'a process that states no start time is no crash': [[ALIVE], 0],
  'a start time of a server that is registered without one is no crash': [[{ ...ALIVE, bornMs: 6000 }], 0, 0],
  'a refused connection after silence is a crash': [
    [{ kind: 'silent' }, { kind: 'silent', isRefused: true }],
    1,
  ],
  'an answer after silence is no crash': [[{ kind: 'silent' }, ALIVE], 0],
  'a server that stays silent is no crash': [[{ kind: 'silent' }], 0],
};

for (const [name, [probes, expected, bornMs = SERVER.bornMs]] of Object.entries(CASES))
  test.serial(`guards against taking a broken connection for a crash: ${name}`, async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const crashes: ServerCrash[] = [];
    let probed = 0;
    const detector = createCrashDetector(
      () => Promise.resolve(probes[Math.min(probed++, probes.length - 1)] ?? ALIVE),
      () => false,
      (crash) => crashes.push(crash),
    );
    const call = { callId: 'c', traits: [{ trait: 'm/d', position: 0 }], isExonerated: false };
    const server = { ...SERVER, bornMs };
    detector.recordBrokenCall(server, call);
    detector.recordBrokenCall(server, { ...call, callId: 'd' });
    await clock.tickAsync(6000);
    t.is(crashes.length, expected);
    t.deepEqual(
      crashes.flatMap(({ calls }) => calls.map(({ callId }) => callId)),
      expected === 0 ? [] : ['c', 'd'],
    );
  });

test.serial('guards against blaming calls for the end of a server that leaves', async (t) => {
  const crashes: ServerCrash[] = [];
  const detector = createCrashDetector(
    () => Promise.resolve({ kind: 'gone' }),
    () => true,
    (crash) => crashes.push(crash),
  );
  detector.recordBrokenCall(SERVER, { callId: 'c', traits: [], isExonerated: false });
  await Promise.resolve();
  t.is(crashes.length, 0);
});
