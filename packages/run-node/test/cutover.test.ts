import test from 'ava';
import type { CompletionResult, EntryCallResult } from '@laburnumshift/call-entry';
import { computeAnswer } from '@laburnumshift/fakes/engine';
import { computeToken } from '@laburnumshift/fakes/older-system';
import { waitFor } from '@laburnumshift/test-utils';
import { ACCOUNTS, startCutover, type CutoverSite } from './start-cutover.js';

const TOKENS = 12;
const computeOlder = (prompt: string, count = TOKENS): string[] =>
  Array.from({ length: count }, (_, offset) => computeToken(prompt, offset));
const findSystem = (output: CompletionResult, prompt: string): string => {
  const text = output.tokens.join('|');
  if (text === computeOlder(prompt).join('|')) return 'older';
  return text === computeAnswer('m', prompt, TOKENS).join('|') ? 'own' : 'mixed';
};
const sendBooking = (
  started: CutoverSite,
  node: number,
  key: string,
  account: 'acme' | 'other' = 'acme',
  body = '{}',
) =>
  started
    .getClient(node, account)
    .call({ service: 'book', path: '/book', key, issuedAtMs: Date.now() - 1000, body });
const getCode = (answer: EntryCallResult): string =>
  answer.kind === 'answered' ? 'answered' : answer.error.kind === 'refused' ? answer.error.code : 'cut';
const getOutcome = (answer: EntryCallResult): string | undefined =>
  answer.kind === 'failed' && answer.error.kind === 'refused' ? answer.error.outcome : undefined;

/** Resends while no server is usable. A server that lost an answer becomes usable after its next load report. */
async function sendUsable(started: CutoverSite, node: number, key: string): Promise<EntryCallResult> {
  let answer = await sendBooking(started, node, key);
  await waitFor('a usable server', async () => {
    if (getCode(answer) !== 'no_backend_server') return true;
    answer = await sendBooking(started, node, key);
    return false;
  });
  return answer;
}

test.serial(
  'guards against mixed answers and repeated bookings while the share and the weights change',
  async (t) => {
    const started = await startCutover(t, 3);
    await started.publish(1);
    let moving = true;
    let sent = 0;
    const systems = new Map<string, number>();
    const keys: string[] = [];
    const countTurns = (): number => [...systems.values()].reduce((sum, count) => sum + count, 0);
    const runConversation = async (account: (typeof ACCOUNTS)[number], id: number): Promise<void> => {
      for (let turn = 0; moving || turn < 3; turn += 1) {
        const prompt = `${account} conversation ${String(id)} turn ${String(turn)}`;
        const output = await started.getClient((id + turn) % 3, account).complete({
          service: 'chat',
          prompt,
          maxTokens: TOKENS,
          conversation: `c${String(id)}`,
        });
        t.true(output.finished, JSON.stringify(output.error));
        const system = findSystem(output, prompt);
        systems.set(system, (systems.get(system) ?? 0) + 1);
      }
    };
    const runBookings = async (id: number): Promise<void> => {
      for (let turn = 0; moving || turn < 3; turn += 1) {
        const key = `b${String(id)}-${String(turn)}`;
        keys.push(key);
        sent += 1;
        const first = await sendBooking(started, turn % 3, key);
        const second = await sendBooking(started, (turn + 1) % 3, key);
        t.is(getCode(first), 'answered', JSON.stringify(first));
        t.is(first.kind === 'answered' && first.body, second.kind === 'answered' && second.body);
      }
    };
    const work = Promise.all([
      ...[0, 1, 2].flatMap((id) => ACCOUNTS.map((account) => runConversation(account, id))),
      runBookings(0),
      runBookings(1),
    ]);
    for (const [share, version] of [
      [0.5, 'v1'],
      [0, 'v2'],
      [0.5, 'v2'],
      [1, 'v3'],
      [0.3, 'v3'],
    ] as const) {
      await started.publish(share, version);
      const seen = countTurns();
      await waitFor('turns under this share', () => countTurns() >= seen + 12);
    }
    moving = false;
    await work;
    t.deepEqual([...systems.keys()].sort(), ['older', 'own']);
    for (const key of keys) t.is(started.countRuns(key), 1, key);
    t.is(await started.countRefused(), 0, 'valid messages are not refused');
    t.log({ systems: Object.fromEntries(systems), bookings: sent });
  },
);

test.serial(
  'guards against a run, or its resend, that moves to the other system when the share changes',
  async (t) => {
    const started = await startCutover(t, 2);
    for (const [from, to, system] of [
      [1, 0, 'older'],
      [0, 1, 'own'],
    ] as const) {
      await started.publish(from);
      const prompt = `a long answer of ${system}`;
      const request = { service: 'chat', prompt, maxTokens: 150, requestId: system, conversation: 'c' };
      const running = started.getClient(0).complete(request);
      await waitFor('the run', async () => {
        const response = await fetch(`${started.callersUrls[0] ?? ''}/healthz`).catch(() => undefined);
        return response !== undefined && (system === 'own' || started.older.countCompletions() > 0);
      });
      await started.publish(to);
      const attached = started.getClient(1).complete(request);
      const later = await started
        .getClient(1)
        .complete({ service: 'chat', prompt: 'a later turn', maxTokens: TOKENS, conversation: 'c' });
      t.is(findSystem(later, 'a later turn'), system === 'own' ? 'older' : 'own');
      const expected = system === 'own' ? computeAnswer('m', prompt, 150) : computeOlder(prompt, 150);
      t.deepEqual((await running).tokens, expected);
      t.deepEqual((await attached).tokens, expected);
    }
  },
);

test.serial(
  'guards against a key that moves to the other system, and a large answer lost without notice',
  async (t) => {
    const started = await startCutover(t, 3, 1_000);
    const large = 'x'.repeat(5_000);
    const issuedAtMs = Date.now();
    const headers = { authorization: 'Bearer acme', 'idempotency-issued-at': String(issuedAtMs) };
    const sendLarge = (node: number, key: string) =>
      fetch(`${started.callersUrls[node] ?? ''}/call/book/book`, {
        method: 'POST',
        headers: { ...headers, 'idempotency-key': key },
        body: large,
      });
    for (const [from, to, system] of [
      [1, 0, 'older'],
      [0, 1, 'own'],
    ] as const) {
      await started.publish(from);
      const done = await sendBooking(started, 0, `${system}-done`);
      t.true((await (await sendLarge(0, `${system}-large`)).text()).includes(large));
      const target = system === 'older' ? started.older : [...started.site.services.values()][0];
      await target?.setFaults({ lostAfterRun: 1, lostBy: 'cut' });
      t.is(getOutcome(await sendBooking(started, 0, `${system}-lost`)), 'unknown');
      await target?.setFaults({ lostBeforeRun: 1, lostBy: 'cut' });
      t.is(getOutcome(await sendUsable(started, 0, `${system}-unsent`)), 'unknown');
      await target?.setFaults({ slowMs: 1_500 });
      t.is(getCode(await sendUsable(started, 0, `${system}-slow`)), 'in_progress');
      await target?.setFaults({ slowMs: 0 });
      await started.publish(to);
      const again = await sendBooking(started, 1, `${system}-done`);
      t.is(again.kind === 'answered' && again.body, done.kind === 'answered' && done.body);
      const kept = await sendLarge(1, `${system}-large`);
      t.is(kept.status, 200);
      t.is(kept.headers.get('x-answer-stored'), 'false');
      t.is(await kept.text(), '');
      const look = await fetch(`${started.callersUrls[2] ?? ''}/outcome/book/${system}-large`, { headers });
      t.like(await look.json(), { state: 'finished', outcome: 'ran', answerStored: false });
      const lost = await sendBooking(started, 1, `${system}-lost`);
      t.is(getCode(lost), 'outcome_unknown');
      t.is(getCode(await sendBooking(started, 2, `${system}-unsent`)), 'outcome_unknown');
      await waitFor(
        'the late answer',
        async () => getCode(await sendBooking(started, 2, `${system}-slow`)) === 'answered',
      );
      for (const name of ['done', 'large', 'lost', 'slow'])
        t.is(started.countRuns(`${system}-${name}`), 1, name);
      t.is(started.countRuns(`${system}-unsent`), 0);
    }
  },
);

// The older system does not separate keys by account.
test.serial('guards against an answer to another account that used the same key', async (t) => {
  const started = await startCutover(t, 2);
  await started.publish(1);
  const [first, second] = await Promise.all([
    sendBooking(started, 0, 'same', 'acme', 'secret of acme'),
    sendBooking(started, 1, 'same', 'other', 'secret of other'),
  ]);
  t.is(started.countRuns('same'), 1);
  t.deepEqual([getCode(first), getCode(second)].sort(), ['answered', 'idempotency_key_reused']);
  for (const [answer, other] of [
    [first, 'secret of other'],
    [second, 'secret of acme'],
  ] as const) {
    t.false(JSON.stringify(answer).includes(other));
  }
  await started.publish(0);
  const refused = getCode(first) === 'answered' ? 'other' : 'acme';
  const later = await sendBooking(started, 0, 'same', refused, `secret of ${refused}`);
  t.is(getCode(later), 'outcome_unknown', 'the older system knows the key');
  t.is(started.countRuns('same'), 1);
});

// The share of this system must also continue to be served.
test.serial(
  'guards against a false `not run` and a repeated booking while the older system is down or silent',
  async (t) => {
    const started = await startCutover(t, 2, 1_000);
    await started.publish(1);
    await started.older.setFaults({ refuseConnections: true });
    const down = await sendBooking(started, 0, 'down');
    t.deepEqual([getCode(down), getOutcome(down)], ['no_backend_server', 'not run']);
    await started.publish(0);
    t.is(getOutcome(await sendBooking(started, 1, 'down')), 'not run', 'a key cannot be checked');
    const chat = { service: 'chat', prompt: 'q', maxTokens: TOKENS };
    t.is(findSystem(await started.getClient(0).complete(chat), 'q'), 'own');
    await started.older.setFaults({ refuseConnections: false });
    await waitFor(
      'the withdrawn key',
      async () => getCode(await sendBooking(started, 1, 'down')) === 'answered',
    );
    await started.publish(1);
    t.is(getCode(await sendBooking(started, 0, 'before')), 'answered');
    await started.older.setFaults({ silenceOpen: true });
    const silent = await sendBooking(started, 0, 'silent');
    if (getCode(silent) !== 'answered') t.is(started.countRuns('silent'), 0);
    await waitFor(
      'a new connection',
      async () => getCode(await sendBooking(started, 1, 'silent')) === 'answered',
    );
    for (const key of ['down', 'before', 'silent']) t.is(started.countRuns(key), 1, key);
  },
);
