import http from 'node:http';
import https from 'node:https';
import net from 'node:net';
import { once } from 'node:events';
import test from 'ava';
import { createRefusal } from '@laburnumshift/errors';
import type { AuthenticatedCall, AuthenticatedCompletion } from '@laburnumshift/serve-callers';
import { waitFor } from '@laburnumshift/test-utils';
import type { JournalLookup } from '@laburnumshift/types';
import { COMPLETION, sendRequest, startServer, TOKENS } from './start-server.js';
import { TLS_PAIR } from './tls-pair.js';

const PATH = '/v1/completions';
const LARGE = 'x'.repeat(5_000);
const unknown = [401, 'unauthenticated'] as const;
const bad = [400, 'bad_request'] as const;
const tooLarge = [413, 'body_too_large'] as const;

type Refused = readonly [string, readonly [number, string], string, unknown, http.OutgoingHttpHeaders?];
const refused: readonly Refused[] = [
  ['no key', unknown, PATH, COMPLETION, { authorization: '' }],
  ['a wrong key', unknown, PATH, COMPLETION, { authorization: 'Bearer key-x' }],
  ['a key after its period', unknown, PATH, COMPLETION, { authorization: 'Bearer key-old' }],
  ['a key before its period', unknown, PATH, COMPLETION, { authorization: 'Bearer key-next' }],
  ['no JSON', bad, PATH, '{"service":'],
  ['a wrong type', bad, PATH, { ...COMPLETION, max_tokens: '5' }],
  ['an unknown field', bad, PATH, { ...COMPLETION, top_k: 1 }],
  ['no UTF-8', bad, '/call/s/x', Buffer.from([0xff, 0xfe])],
  ['a blank in its id', bad, '/call/s/x', '{}', { 'x-request-id': 'a b' }],
  ['a declared large body', tooLarge, PATH, LARGE, { 'content-length': 5_000 }],
  ['a large chunked body', tooLarge, '/call/s/x', LARGE, { 'transfer-encoding': 'chunked' }],
  ['large headers', [431, 'bad_request'], PATH, COMPLETION, { 'x-large': LARGE }],
  ['a wrong offset', bad, PATH, COMPLETION, { 'x-resume-offset': '-1' }],
  ['a dot segment', bad, '/call/s/a/%2e%2E/b', '{}'],
  ['a wrong issue time', bad, '/call/s/a', '{}', { 'idempotency-issued-at': 'now' }],
  ['an unknown path', [404, 'not_found'], '/v2/completions', COMPLETION],
];

for (const [name, [status, code], path, body, headers] of refused) {
  // Guards against running requests that must be refused, and against refusals without an error body.
  test(`a request with ${name} is refused before it runs`, async (t) => {
    const fail = (): never => t.fail();
    const server = await startServer({ runCompletion: fail, runCall: fail });
    const answer = await sendRequest(server, path, body, headers);
    t.is(answer.status, status);
    t.like(JSON.parse(answer.body), { error: { code, outcome: 'not run' } });
    await server.close();
  });
}

// Guards against losing fields between the request and the run, or between the run and the answer.
test('completions are answered as one body and as a stream', async (t) => {
  const seen: AuthenticatedCompletion[] = [];
  const server = await startServer({
    async *runCompletion(request) {
      seen.push(request);
      for (const item of TOKENS) yield await Promise.resolve(item);
    },
  });
  const plain = await sendRequest(server, PATH, COMPLETION);
  t.like(JSON.parse(plain.body), { text: 'one two', finish_reason: 'stop', output_tokens: 2 });
  const headers = { 'x-request-id': 'r-1', 'x-resume-offset': '3' };
  const stream = await sendRequest(server, PATH, { ...COMPLETION, stream: true }, headers);
  const events = stream.body.split('\n\n').filter(Boolean);
  t.is(events.length, 3);
  const last = { id: 'r-1', offset: 1, text: 'two', finish_reason: 'stop' };
  t.deepEqual(JSON.parse(events[1]?.slice(6) ?? ''), last);
  t.is(events[2], 'data: [DONE]');
  t.like(seen[1], { requestId: 'r-1', hasCallerId: true, startOffset: 3, maxTokens: 5 });
  t.false(seen[0]?.hasCallerId);
  t.is(seen[0]?.bodyHash, seen[1]?.bodyHash, 'the body hash does not depend on `stream`');
  await server.close();
});

// Guards against refusals without an outcome or a retry time, before and after the first token.
test('the refusal of a run contains its outcome and retry time', async (t) => {
  const refusal = createRefusal('overloaded', 'full', 'not run', 1_200);
  for (const count of [0, 1]) {
    const server = await startServer({
      async *runCompletion() {
        yield* TOKENS.slice(0, count);
        yield await Promise.resolve({ kind: 'end' as const, end: { kind: 'refused' as const, refusal } });
      },
    });
    const answer = await sendRequest(server, PATH, { ...COMPLETION, stream: true });
    const last = answer.body.split('\n\n').filter(Boolean).at(-1) ?? '';
    t.like(JSON.parse(last.replace('data: ', '')), { error: { outcome: 'not run', retryAfterMs: 1_200 } });
    t.is(answer.status, count === 0 ? 503 : 200);
    t.is(answer.headers['retry-after'], count === 0 ? '2' : undefined);
    t.false(answer.body.includes('[DONE]'));
    await server.close();
  }
});

// Guards against forwarding the account key to a service, losing idempotency headers, and a caller that names another
// account.
test('plain calls forward the path, the query and the allowed headers', async (t) => {
  const seen: AuthenticatedCall[] = [];
  const server = await startServer({
    runCall: (call) => {
      seen.push(call);
      return Promise.resolve({ ok: true, value: { status: 201, headers: { connection: 'x' }, body: 'ok' } });
    },
  });
  const headers = {
    'idempotency-key': 'k',
    'idempotency-issued-at': '17',
    connection: 'x-b',
    'x-b': '1',
    'x-client-account': 'another',
  };
  const answer = await sendRequest(server, '/call/seats/a/b?c=d', '{}', headers);
  t.is(answer.status, 201);
  t.like(seen[0], { service: 'seats', idempotencyKey: 'k', issuedAtMs: 17 });
  t.like(seen[0]?.call, { method: 'POST', path: '/a/b?c=d', body: '{}' });
  t.is(seen[0]?.call.headers['x-client-account'], seen[0]?.account.name);
  const passed = Object.keys(seen[0]?.call.headers ?? {});
  t.false(passed.some((name) => ['authorization', 'host', 'connection', 'x-b'].includes(name)));
  await server.close();
});

// Guards against showing an account the calls of another.
test('an outcome is looked up only under the account of the caller', async (t) => {
  const lookups: JournalLookup[] = [];
  const server = await startServer({
    findOutcome: (look) => {
      lookups.push(look);
      const answer = { status: 200, headers: {}, body: 'booked' };
      return Promise.resolve(
        look.account === 'a'
          ? { ok: true, value: { kind: 'finished', answer, system: 'own' } }
          : { ok: true, value: { kind: 'absent' } },
      );
    },
  });
  const own = await sendRequest(server, '/outcome/seats/k1');
  t.like(JSON.parse(own.body), { state: 'finished', outcome: 'ran', status: 200, body: 'booked' });
  const other = await sendRequest(server, '/outcome/seats/k1', undefined, { authorization: 'Bearer key-b' });
  t.is(other.status, 404);
  t.like(JSON.parse(other.body), { error: { code: 'not_found', outcome: 'unknown' } });
  t.deepEqual(
    lookups.map((look) => look.account),
    ['a', 'b'],
  );
  await server.close();
});

// Guards against runs that go on after their caller has disconnected.
test('the run of a caller that disconnects is aborted', async (t) => {
  let signal: AbortSignal | undefined;
  const server = await startServer({
    async *runCompletion(_request, given) {
      signal = given;
      yield TOKENS[0] ?? t.fail();
      await once(given, 'abort');
    },
  });
  const request = http.request(`http://${server.address}/v1/completions`, {
    method: 'POST',
    headers: { authorization: 'Bearer key-a' },
  });
  request.on('error', () => undefined).end(JSON.stringify({ ...COMPLETION, stream: true }));
  await once(request, 'response');
  request.destroy();
  await waitFor('the abort', () => signal?.aborted === true);
  await waitFor('the end', () => server.getCounts().active === 0);
  await server.close();
  t.pass();
});

// Guards against unbounded memory for a caller that does not read, and against keeping its run forever.
test('a caller that stops reading has a bounded buffer and is disconnected', async (t) => {
  let produced = 0;
  const text = 'x'.repeat(10_000);
  const server = await startServer(
    {
      async *runCompletion(_request, signal) {
        for (; !signal.aborted; produced += 1) {
          yield await Promise.resolve({ kind: 'token' as const, offset: produced, text, finishReason: null });
        }
      },
    },
    { stallTimeoutMs: 300 },
  );
  const { port } = new URL(`http://${server.address}`);
  const socket = net.connect(Number(port), '127.0.0.1');
  const body = JSON.stringify({ ...COMPLETION, stream: true });
  const head = `POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-a\r\n`;
  socket.on('error', () => undefined).write(`${head}content-length: ${String(body.length)}\r\n\r\n${body}`);
  socket.pause();
  await waitFor('the cut', () => server.getCounts().stalled === 1);
  // The kernel buffers of both sides hold a few MB on loopback. Without the bound the output would grow until the
  // timeout.
  t.true(produced * text.length < 64 * 1_048_576, String(produced));
  socket.destroy();
  await server.close();
});

// Guards against callers that keep connections open by sending slowly.
test('slow headers and idle connections are closed', async (t) => {
  const server = await startServer({}, { headersTimeoutMs: 50, requestTimeoutMs: 100 });
  const { port } = new URL(`http://${server.address}`);
  const socket = net.connect(Number(port), '127.0.0.1');
  socket.write('POST /v1/completions HTTP/1.1\r\nhost:');
  let text = '';
  socket.setEncoding('utf8').on('data', (part: string) => (text += part));
  await once(socket, 'close');
  t.regex(text, /^HTTP\/1\.1 408 /);
  t.regex(text, /"outcome":"not run"/);
  await server.close();
});

// Guards against running out of memory because of too many connections.
test('connections over the limit are dropped', async (t) => {
  const limits = { maxBodyBytes: 100, maxHeaderBytes: 1_000, maxConnections: 2, maxBufferedBytes: 100 };
  const server = await startServer({}, { limits });
  const { port } = new URL(`http://${server.address}`);
  const sockets = [1, 2, 3].map(() => net.connect(Number(port), '127.0.0.1'));
  for (const socket of sockets) socket.on('error', () => undefined);
  await waitFor('a drop', () => server.getCounts().dropped === 1);
  for (const socket of sockets) socket.destroy();
  await server.close();
  t.pass();
});

// Guards against a shutdown that interrupts a stream or accepts requests that it will not finish.
test('a draining server finishes streams and refuses new requests', async (t) => {
  const continueRun = new AbortController();
  const agent = new http.Agent({ keepAlive: true });
  const server = await startServer({
    async *runCompletion() {
      yield* TOKENS.slice(0, 1);
      await once(continueRun.signal, 'abort');
      yield* TOKENS.slice(1);
    },
  });
  const running = sendRequest(server, PATH, { ...COMPLETION, stream: true }, {}, agent);
  await waitFor('the run', () => server.getCounts().active === 1);
  const drained = server.drain();
  const refusedAnswer = await sendRequest(server, PATH, COMPLETION);
  t.is(refusedAnswer.status, 503);
  t.is(refusedAnswer.headers.connection, 'close');
  t.like(JSON.parse(refusedAnswer.body), {
    error: { code: 'not_ready', outcome: 'not run', retryAfterMs: 1_000 },
  });
  continueRun.abort();
  t.true((await running).body.endsWith('data: [DONE]\n\n'));
  await drained;
  await waitFor('closed connections', () => Object.keys(agent.freeSockets).length === 0);
  await server.close();
});

// Guards against a server that ignores its certificate and speaks plain HTTP.
test('a server with a certificate speaks HTTPS only', async (t) => {
  const server = await startServer({}, { tls: TLS_PAIR });
  const request = https.get(`https://${server.address}/outcome/s/k`, {
    ca: TLS_PAIR.cert,
    checkServerIdentity: () => undefined,
    headers: { authorization: 'Bearer key-a' },
  });
  const [response] = (await once(request, 'response')) as [http.IncomingMessage];
  t.is(response.statusCode, 404);
  response.resume();
  await t.throwsAsync(sendRequest(server, '/outcome/s/k'));
  await server.close();
});
