import { sleep } from '@laburnumshift/clock';
import { holdLease } from '@laburnumshift/hold-lease';
import { createOrderedStore, type ObjectStore, type StoreAnswer } from '@laburnumshift/order-revisions';
import { installClock } from '@laburnumshift/test-utils';
import type { ReadResult, WriteResult } from '@laburnumshift/types';
import test from 'ava';
import fc from 'fast-check';

const SEED = 2911;
const TIMES = { holdMs: 1200, takeoverMs: 1400, renewMs: 400, pollMs: 300 };
const STEP_MS = 50;

interface Stored {
  readonly version: number;
  readonly value: unknown;
}
/** `lost`: the answer of a write is lost; `late`: the write is also executed later; `slow`: a call takes some time. */
type Fault = 'none' | 'down' | 'lost' | 'late' | 'slow';
const SLOW_MS = 250;
const LATE_MS = 2500;

/** Creates a store with one object. It can be restored from an earlier state, which begins an era. */
const createStore = () => {
  let era = 1;
  let revision = 0;
  let stored: Stored | undefined;
  const copies: { readonly atMs: number; readonly revision: number; readonly stored: Stored | undefined }[] =
    [];
  const recordCopy = (): void => {
    copies.push({ atMs: performance.now(), revision, stored });
  };
  recordCopy();
  const apply = (value: unknown, ifVersion: number): WriteResult => {
    if (ifVersion !== (stored?.version ?? 0)) return { kind: 'conflict', version: stored?.version ?? 0 };
    revision += 1;
    stored = { version: revision, value };
    recordCopy();
    return { kind: 'written', version: revision };
  };
  const applyCopy = (ageMs: number): void => {
    const copy = copies.findLast(({ atMs }) => atMs <= performance.now() - ageMs) ?? copies[0];
    era += 1;
    revision = copy?.revision ?? 0;
    stored = copy?.stored;
    recordCopy();
  };
  /** Executes a write of a holder from an earlier era, whose condition holds by chance. */
  const applyLateWrite = (): void => {
    apply({ holder: 'x', fencing: 1, expiresAt: 0, incarnation: 1 }, stored?.version ?? 0);
  };
  const addChange = (): void => {
    revision += 1;
    recordCopy();
  };
  const connect = (readFault: () => Fault) => {
    const reply = <T>(result: T): StoreAnswer<T> => ({ era, result });
    const fail = { era: undefined, result: { kind: 'unavailable', detail: '' } } as const;
    const lost = { era: undefined, result: { kind: 'unknown', detail: '' } } as const;
    const waitIfSlow = async (): Promise<void> => {
      if (readFault() === 'slow') await sleep(SLOW_MS);
    };
    const readObject = async <T>(): Promise<StoreAnswer<ReadResult<T>>> => {
      if (readFault() === 'down') return fail;
      await waitIfSlow();
      if (stored === undefined) return reply({ kind: 'absent' });
      const object = { kind: 'lease', name: 'x', version: stored.version, value: stored.value as T };
      return reply({ kind: 'found', object });
    };
    const writeObject: ObjectStore['writeObject'] = async (_kind, _name, value, ifVersion) => {
      const fault = readFault();
      if (fault === 'down') return fail;
      if (fault === 'late') {
        setTimeout(() => apply(value, ifVersion), LATE_MS);
        return lost;
      }
      await waitIfSlow();
      const result = reply(apply(value, ifVersion));
      return fault === 'lost' ? lost : result;
    };
    return createOrderedStore({ readObject, writeObject } as Partial<ObjectStore> as ObjectStore);
  };
  return { connect, applyCopy, applyLateWrite, addChange };
};

/** Starts two candidates. `run` advances the clock and records each holder and its token. */
const start = () => {
  const clock = installClock();
  const store = createStore();
  const candidates = ['a', 'b'].map((host) => {
    const state = { fault: 'none' as Fault, isWanted: true };
    const { leases: platform, era } = store.connect(() => state.fault);
    const options = { platform, name: 'x', self: { host, incarnation: 1 }, durations: TIMES, era };
    return { state, lease: holdLease({ ...options, isWanted: () => state.isWanted }) };
  });
  const tokens: { readonly holder: number; readonly token: number }[] = [];
  const faults: string[] = [];
  const run = async (ms: number): Promise<void> => {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      await clock.tickAsync(STEP_MS);
      const held = candidates.flatMap(({ lease }, holder) => {
        const token = lease.getFencingToken();
        return token === undefined ? [] : [{ holder, token }];
      });
      if (held.length > 1) faults.push(`two holders at ${String(performance.now())}`);
      for (const next of held) {
        const last = tokens.at(-1);
        if (last?.holder === next.holder && last.token === next.token) continue;
        if (last !== undefined && next.token <= last.token)
          faults.push(`token ${String(next.token)} of ${String(next.holder)} after ${String(last.token)}`);
        tokens.push(next);
      }
    }
  };
  const findHolder = (): number => candidates.findIndex(({ lease }) => lease.getFencingToken() !== undefined);
  const close = (): void => {
    for (const { lease } of candidates) lease.close();
    clock.uninstall();
  };
  return { store, candidates, tokens, faults, run, findHolder, close };
};

for (const [copy, ageMs, isReleased] of [
  ['lacks the lease', 60_000, false],
  ['has the lease released', 2500, true],
  ['has the lease of the holder before', 2500, false],
] as const)
  test.serial(
    `a lease is not taken before its last holder stops when a restored store ${copy}`,
    async (t) => {
      const { store, candidates, tokens, faults, run, findHolder, close } = start();
      t.teardown(close);
      await run(4000);
      const first = findHolder();
      const former = candidates[first];
      if (former === undefined) return t.fail('nobody holds the lease');
      if (isReleased) former.state.isWanted = false;
      else former.state.fault = 'down';
      await run(isReleased ? 200 : 1500);
      former.state.fault = 'none';
      former.state.isWanted = false;
      await run(3000 - (isReleased ? 200 : 1500));
      t.is(findHolder(), 1 - first);
      former.state.isWanted = true;
      store.applyCopy(ageMs);
      const holder = candidates[1 - first];
      if (holder !== undefined) holder.state.fault = 'down';
      await run(TIMES.takeoverMs - 2 * STEP_MS);
      t.is(findHolder(), -1, 'the holder stops in its time, and no other begins');
      if (holder !== undefined) holder.state.fault = 'none';
      await run(3000);
      t.true(findHolder() >= 0);
      t.true((tokens.at(-1)?.token ?? 0) > 2_000_000_000, 'tokens rise over eras');
      t.deepEqual(faults, []);
    },
  );

test.serial('a holder whose lease the restored store lacks learns of it at its next renewal', async (t) => {
  const { store, run, findHolder, close } = start();
  t.teardown(close);
  await run(4000);
  t.true(findHolder() >= 0);
  store.applyCopy(60_000);
  await run(TIMES.renewMs + TIMES.pollMs);
  t.is(findHolder(), -1);
});

test.serial('a holder keeps its lease when the restored store has it', async (t) => {
  const { store, tokens, run, findHolder, close } = start();
  t.teardown(close);
  await run(4000);
  const holder = findHolder();
  store.applyCopy(1000);
  await run(3000);
  t.is(findHolder(), holder);
  t.is(tokens.length, 1);
});

test.serial(
  'a token is not given out again after a write from before a restore replaced the lease',
  async (t) => {
    const { store, tokens, faults, run, close } = start();
    t.teardown(close);
    await run(4000);
    store.applyCopy(60_000);
    await run(4000);
    store.applyLateWrite();
    await run(4000);
    t.is(tokens.length, 3);
    t.deepEqual(faults, []);
  },
);

const ACTIONS = {
  restore: (store: ReturnType<typeof createStore>, _: unknown, amount: number) => {
    store.applyCopy(amount * 40);
  },
  change: (store: ReturnType<typeof createStore>) => {
    store.addChange();
  },
  fault: (_: unknown, candidate: { fault: Fault } | undefined, amount: number) => {
    if (candidate !== undefined)
      candidate.fault = (['none', 'down', 'lost', 'late', 'slow'] as const)[amount % 5] ?? 'none';
  },
  want: (_: unknown, candidate: { isWanted: boolean } | undefined, amount: number) => {
    if (candidate !== undefined) candidate.isWanted = amount % 4 !== 0;
  },
} as const;

test.serial(
  'no restores, faults and takeovers lead to two holders at once or to a token that is not higher',
  async (t) => {
    t.timeout(120_000);
    const step = fc.record({
      action: fc.constantFrom<keyof typeof ACTIONS>('restore', 'change', 'fault', 'want'),
      who: fc.nat(1),
      amount: fc.nat(100),
      waitMs: fc.nat(40).map((steps) => steps * STEP_MS),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 30 }), async (steps) => {
        const { store, candidates, faults, run, close } = start();
        try {
          for (const { action, who, amount, waitMs } of steps) {
            ACTIONS[action](store, candidates[who]?.state, amount);
            await run(waitMs);
          }
          t.deepEqual(faults, []);
        } finally {
          close();
        }
      }),
      { seed: SEED, numRuns: 500 },
    );
  },
);
