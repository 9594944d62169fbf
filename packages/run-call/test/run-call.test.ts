import test from 'ava';
import fc from 'fast-check';
import { createRefusal } from '@laburnumshift/errors';
import { checkIdempotencyKey, findOutcome } from '@laburnumshift/run-call';
import { installClock } from '@laburnumshift/test-utils';
import type { JournalDecision } from '@laburnumshift/types';
import { type ServerBehaviour, DEADLINE_MS, KEY, KEY_TIME_MS, simulateService } from './simulate-service.js';

async function runWithFakeClock<T>(start: () => Promise<T>): Promise<T> {
  const clock = installClock(KEY_TIME_MS);
  try {
    const progress = { ended: false };
    const running = start().finally(() => (progress.ended = true));
    for (let i = 0; i < 1_000 && !progress.ended; i += 1) await clock.tickAsync(10);
    return await running;
  } finally {
    clock.uninstall();
  }
}

const idempotent: readonly [string, ServerBehaviour[], string][] = [
  ['a lost answer', ['lost'], 'run 2'],
  ['a silent connection', ['silent'], 'run 1'],
  ['an unreachable and a leaving server', ['unsent', 'leaving'], 'run 1'],
];
for (const [name, behaviours, body] of idempotent) {
  // Guards against refusing a call that another server can safely answer.
  test.serial(`an idempotent call is retried on another server after ${name}`, async (t) => {
    const service = simulateService([...behaviours], true);
    const answer = await runWithFakeClock(() => service.runRequest());
    t.like(answer, { ok: true, value: { body } });
    t.is(new Set(service.counts.dispatched).size, behaviours.length + 1);
  });
}

const journaled: readonly [string, ServerBehaviour[], object, number, number][] = [
  ['an answer', ['answer'], { ok: true, value: { body: 'run 1' } }, 1, 1],
  ['a lost answer', ['lost'], { error: { code: 'outcome_unknown', outcome: 'unknown' } }, 1, 1],
  ['a silent connection', ['silent'], { error: { outcome: 'unknown' } }, 1, 0],
  ['a server that no byte reached', ['unsent'], { ok: true }, 2, 1],
  ['a leaving server', ['leaving'], { ok: true }, 2, 1],
  ['no reachable server', ['unsent', 'unsent', 'unsent'], { error: { outcome: 'not run' } }, 3, 0],
  ['a late answer', ['slow'], { error: { code: 'in_progress', outcome: 'unknown' } }, 1, 0],
];
for (const [name, behaviours, expected, dispatched, ran] of journaled) {
  // Guards against a second run, a call on a connection that was not checked, and a false outcome.
  test.serial(
    `a non-idempotent call runs at most once and reports a true outcome after ${name}`,
    async (t) => {
      const service = simulateService([...behaviours], false);
      const answer = await runWithFakeClock(() => service.runRequest());
      t.like(answer, expected);
      t.is(service.counts.dispatched.length, dispatched);
      t.is(service.counts.ran, ran);
      t.is(service.counts.unproven, 0);
    },
  );
}

// Guards against losing an answer that arrives after the deadline.
test.serial('a resend gets the recorded answer that arrived after the deadline', async (t) => {
  const service = simulateService(['slow'], false);
  const answer = await runWithFakeClock(async () => {
    await service.runRequest();
    const { sleep } = await import('@laburnumshift/clock');
    await sleep(5_000);
    return service.runRequest();
  });
  t.like(answer, { ok: true, value: { body: 'run 1' } });
});

for (const [name, behaviours, outcome] of [
  ['unknown', ['lost'], 'unknown'],
  ['abandoned', ['unsent', 'unsent', 'unsent'], 'not run'],
] as const) {
  // Guards against a refusal that waits until the deadline because the journal is down.
  test.serial(
    `a refusal does not wait for a journal that cannot record the attempt as ${name}`,
    async (t) => {
      const service = simulateService([...behaviours], false);
      const waitForever = (): Promise<boolean> => new Promise(() => undefined);
      Object.assign(service.journal, { markUnknown: waitForever, abandonCall: waitForever });
      const [answer, tookMs] = await runWithFakeClock(async () => {
        const startMs = performance.now();
        return [await service.runRequest(), performance.now() - startMs] as const;
      });
      t.like(answer, { ok: false, error: { outcome } });
      t.true(tookMs < DEADLINE_MS / 2, String(tookMs));
    },
  );
}

const decisions: readonly [JournalDecision, string, string][] = [
  [{ kind: 'in-progress', retryAfterMs: 70 }, 'in_progress', 'unknown'],
  [{ kind: 'unknown', detail: '' }, 'outcome_unknown', 'unknown'],
  [{ kind: 'body-differs' }, 'idempotency_key_reused', 'not run'],
  [{ kind: 'expired' }, 'idempotency_key_expired', 'unknown'],
  [{ kind: 'unavailable', detail: '', seen: false }, 'platform_unavailable', 'not run'],
  [{ kind: 'unavailable', detail: '', seen: true }, 'platform_unavailable', 'unknown'],
  [{ kind: 'run', attemptId: 'of another', system: 'own' }, 'in_progress', 'unknown'],
];
for (const [decision, code, outcome] of decisions) {
  // Guards against a dispatch that the journal did not permit.
  test.serial(`nothing is dispatched when the journal answers ${JSON.stringify(decision)}`, async (t) => {
    const service = simulateService([], false);
    Object.assign(service.journal, { beginCall: () => Promise.resolve(decision) });
    const answer = await runWithFakeClock(() => service.runRequest());
    t.like(answer, { ok: false, error: { code, outcome } });
    if (decision.kind === 'unavailable') t.like(answer, { error: { retryAfterMs: 1_000 } });
    if (decision.kind === 'in-progress') t.like(answer, { error: { retryAfterMs: 70 } });
    t.is(service.counts.dispatched.length, 0);
  });
}

// Guards against the outcome `not run` for a key that may have been sent earlier through nodes that have died since.
test.serial(
  'a key of 30 s or more is refused as unknown, not as not run, while the journal is down',
  async (t) => {
    const service = simulateService([], false);
    service.journal.fault = 'begin';
    const sendAged = (ageMs: number) =>
      runWithFakeClock(() => service.runRequest({ idempotencyKey: 'k', issuedAtMs: KEY_TIME_MS - ageMs }));
    t.like(await sendAged(29_900), { error: { code: 'platform_unavailable', outcome: 'not run' } });
    t.like(await sendAged(30_000), { error: { code: 'platform_unavailable', outcome: 'unknown' } });
    t.is(service.counts.dispatched.length, 0);
  },
);

const RETENTION_MS = 7_200_000;
const keys: readonly [string, string | undefined, number | undefined, string | undefined][] = [
  ['UUID version 7', KEY, undefined, undefined],
  ['dated by its header', 'k', KEY_TIME_MS, undefined],
  ['absent', undefined, undefined, 'idempotency_key_required'],
  ['undated', 'k', undefined, 'idempotency_key_undated'],
  ['UUID version 4', KEY.replace('-7', '-4'), undefined, 'idempotency_key_undated'],
  ['from the future', 'k', KEY_TIME_MS + 60_001, 'idempotency_key_undated'],
  ['older than the records', 'k', KEY_TIME_MS - RETENTION_MS, 'idempotency_key_expired'],
  [
    'old by its own time but not by its header',
    '018bc000-0000-7000-8000-000000000001',
    KEY_TIME_MS,
    'idempotency_key_expired',
  ],
];
for (const [name, key, issuedAtMs, code] of keys) {
  // Guards against accepting a key after its record was deleted, which would let a late resend run a second time.
  test(`a key that is ${name} is accepted only while its record is certain to be kept`, (t) => {
    const checked = checkIdempotencyKey(key, issuedAtMs, KEY_TIME_MS, RETENTION_MS);
    if (code === undefined) t.deepEqual(checked, { ok: true, value: KEY_TIME_MS });
    else t.like(checked, { ok: false, error: { code } });
  });
}

// Guards against running one key on both systems during a cutover.
test.serial('a key stays with the system that first took it', async (t) => {
  const service = simulateService([], false, 'own');
  service.olderAnswers.set(KEY, { status: 200, headers: {}, body: 'booked there' });
  const taken = await runWithFakeClock(() => service.runRequest());
  t.like(taken, { error: { code: 'outcome_unknown', outcome: 'unknown' } });
  t.false(JSON.stringify(taken).includes('booked there'));
  t.is(service.counts.dispatched.length, 0);
  const other = simulateService([], false, 'older');
  t.like(await runWithFakeClock(() => other.runRequest()), { value: { body: 'older' } });
  Object.assign(other.deps, { chooseSystem: () => 'own' });
  t.like(await runWithFakeClock(() => other.runRequest()), { value: { body: 'older' } });
  t.deepEqual([other.counts.older, other.counts.dispatched.length], [1, 0]);
});

const lookups: readonly [string, string, number | undefined, string][] = [
  ['undated', 'k', undefined, 'idempotency_key_undated'],
  ['from the future', 'k', KEY_TIME_MS + 3_600_000, 'idempotency_key_undated'],
  ['older than the retention', 'k', KEY_TIME_MS - RETENTION_MS, 'idempotency_key_expired'],
];
for (const [name, key, issuedAtMs, code] of lookups) {
  // Guards against reading an absent record as a call that did not run, although the record may have been deleted.
  test.serial(`the outcome of a key that is ${name} is unknown`, async (t) => {
    const service = simulateService([], false);
    const look = { account: 'a', service: 's', key, issuedAtMs };
    const found = await runWithFakeClock(() => findOutcome(look, service.deps));
    t.like(found, { ok: false, error: { code, outcome: 'unknown' } });
    const dated = await runWithFakeClock(() =>
      findOutcome({ ...look, issuedAtMs: KEY_TIME_MS - 60_000 }, service.deps),
    );
    t.deepEqual(dated, { ok: true, value: { kind: 'absent' } });
  });
}

// Guards against one answer of the older system for two accounts, and against a non-idempotent call without its key.
test.serial('the older system receives the key of a non-idempotent call only', async (t) => {
  const headers = { 'idempotency-key': KEY, accept: 'a' };
  const call = { method: 'POST', path: '/book', headers, body: '{}' };
  for (const [isIdempotent, key] of [
    [true, undefined],
    [false, KEY],
  ] as const) {
    const service = simulateService([], isIdempotent, 'older');
    t.like(await runWithFakeClock(() => service.runRequest({ call })), { ok: true });
    t.deepEqual(service.counts.olderKeys, [key]);
  }
});

// Guards against sending a call to a server that the node knows to be leaving or dead.
test.serial('a call is refused as not run when no server is usable', async (t) => {
  for (const kind of [true, false]) {
    const service = simulateService([], kind);
    for (const name of ['a', 'b', 'c']) service.unusable.add(name);
    const answer = await runWithFakeClock(() => service.runRequest());
    t.like(answer, {
      error: {
        ...createRefusal('no_backend_server', '', 'not run'),
        message: 'no server can take the call',
        retryAfterMs: 1_000,
      },
    });
    t.is(service.counts.dispatched.length, 0);
  }
});

// Guards against giving one account the answer of another that uses the same key.
test.serial('the same key of two accounts names two calls', async (t) => {
  const service = simulateService([], false);
  t.like(await runWithFakeClock(() => service.runRequest()), { value: { body: 'run 1' } });
  const found = await runWithFakeClock(() =>
    findOutcome({ account: 'b', service: 's', key: KEY }, service.deps),
  );
  t.deepEqual(found, { ok: true, value: { kind: 'absent' } });
  t.like(await runWithFakeClock(() => service.runRequest({}, 'b')), { value: { body: 'run 2' } });
});

// Guards against a second run and against a false `not run` under any order of faults and resends.
test.serial('a key runs at most once under random faults', async (t) => {
  const behaviour = fc.constantFrom<ServerBehaviour>('answer', 'lost', 'unsent', 'leaving', 'silent', 'slow');
  const fault = fc.constantFrom(undefined, undefined, 'begin' as const, 'finish' as const);
  const property = fc.asyncProperty(
    fc.array(behaviour, { maxLength: 8 }),
    fc.array(fault, { minLength: 1, maxLength: 5 }),
    async (behaviours, faults) => {
      const service = simulateService(behaviours, false);
      await runWithFakeClock(async () => {
        for (const next of faults) {
          service.journal.fault = next;
          const answer = await service.runRequest();
          if (!answer.ok && answer.error.outcome === 'not run') t.is(service.counts.ran, 0);
          service.unusable.clear();
        }
      });
      return service.counts.ran <= 1;
    },
  );
  await t.notThrowsAsync(fc.assert(property, { seed: 7_041, numRuns: 200 }));
});
