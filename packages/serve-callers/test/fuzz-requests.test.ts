import { once } from 'node:events';
import net from 'node:net';
import test from 'ava';
import fc from 'fast-check';
import { COMPLETION, sendRequest, startServer } from './start-server.js';

const SEED = 20_262;
const RUNS = 200;
/** The test double of the service answers 201; a request with `expect` also gets an interim response. */
const EXPECTED_STATUS_LINE = /^(?:HTTP\/1\.1 100 Continue\r\n\r\n)?HTTP\/1\.1 (?:20[01]|4\d\d) /;

const word = fc.string({ maxLength: 20 });
const body = fc.oneof(
  fc.json(),
  word,
  fc
    .record({ service: fc.oneof(word, fc.jsonValue()), prompt: fc.jsonValue(), max_tokens: fc.jsonValue() })
    .map((value) => JSON.stringify(value)),
);
const header = fc.oneof(
  fc.constantFrom(
    'authorization: Bearer key-a',
    'x-resume-offset: 1e9',
    'x-request-id: \u00e9',
    'expect: 100-continue',
    'transfer-encoding: gzip',
    'content-length: 5',
  ),
  fc.tuple(word, word).map(([name, value]) => `${name}: ${value}`),
);
const path = fc.oneof(
  fc.constantFrom('/v1/completions', '/call/s/x', '/outcome/s/k', '/call/%ff/x', '/call/%2e%2e/x'),
  word.map((text) => `/${text}`),
);

test('a random request does not crash the server, hang or stay without a status', async (t) => {
  const server = await startServer({}, { headersTimeoutMs: 300, requestTimeoutMs: 300 });
  t.teardown(() => server.close());
  const { hostname, port } = new URL(`http://${server.address}`);
  const property = fc.asyncProperty(
    fc.constantFrom('GET', 'POST', 'PUT', 'OPTIONS'),
    path,
    fc.array(header, { maxLength: 4 }),
    body,
    fc.boolean(),
    async (method, url, headers, text, isTruncated) => {
      const socket = net.connect(Number(port), hostname).setEncoding('utf8');
      let answer = '';
      socket.on('error', () => undefined).on('data', (part: unknown) => (answer += String(part)));
      const lines = [
        `${method} ${url} HTTP/1.1`,
        'host: n',
        'connection: close',
        'authorization: Bearer key-a',
        ...headers,
      ];
      const length = Buffer.byteLength(text) + (isTruncated ? 3 : 0);
      socket.write(`${lines.join('\r\n')}\r\ncontent-length: ${String(length)}\r\n\r\n${text}`);
      await once(socket, 'close');
      // The connection of a truncated body is closed when the request times out, with or without an answer.
      if (answer !== '' || !isTruncated) t.regex(answer, EXPECTED_STATUS_LINE);
    },
  );
  await fc.assert(property, { seed: SEED, numRuns: RUNS });
  t.is((await sendRequest(server, '/v1/completions', COMPLETION)).status, 200);
  t.is(server.getCounts().active, 0);
});
