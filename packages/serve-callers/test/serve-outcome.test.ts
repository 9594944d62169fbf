import test from 'ava';
import { createRefusal } from '@laburnumshift/errors';
import { sendRequest, startServer } from './start-server.js';

// Guards against a lookup that loses the key's time of issue, reports `not run`, or shows an answer that was not stored
// as empty.
test('an outcome lookup uses the time of issue of the key and never reports not run', async (t) => {
  const dates: (number | undefined)[] = [];
  const answer = { status: 201, headers: { 'x-answer-stored': 'false' }, body: '' };
  const server = await startServer({
    findOutcome: ({ key, issuedAtMs }) => {
      dates.push(issuedAtMs);
      const error = createRefusal('idempotency_key_expired', 'old', 'unknown');
      return Promise.resolve(
        key === 'old'
          ? { ok: false, error }
          : { ok: true, value: { kind: 'finished', answer, system: 'own' } },
      );
    },
  });
  const askOutcome = async (key: string, date: string) =>
    JSON.parse(
      (await sendRequest(server, `/outcome/seats/${key}`, undefined, { 'idempotency-issued-at': date })).body,
    ) as unknown;
  t.like(await askOutcome('k', '17'), {
    state: 'finished',
    outcome: 'ran',
    status: 201,
    answerStored: false,
  });
  t.like(await askOutcome('old', '18'), { error: { code: 'idempotency_key_expired', outcome: 'unknown' } });
  t.like(await askOutcome('k', 'yesterday'), { error: { code: 'bad_request', outcome: 'unknown' } });
  t.deepEqual(dates, [17, 18]);
  await server.close();
});
