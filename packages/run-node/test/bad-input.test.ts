import { createHash } from 'node:crypto';
import { once } from 'node:events';
import { readFile } from 'node:fs/promises';
import https from 'node:https';
import net from 'node:net';
import { fileURLToPath } from 'node:url';
import { createPlatformClient } from '@laburnumshift/call-platform';
import { startSite, type Site } from '@laburnumshift/fakes/site';
import { publishConfig } from '@laburnumshift/publish-config';
import { runNode, type RunningNode } from '@laburnumshift/run-node';
import { waitFor } from '@laburnumshift/test-utils';
import type { NodeSettings } from '@laburnumshift/types';
import test, { type ExecutionContext } from 'ava';
import { buildSegment } from './build-segment.js';

const KEYS = ['key-of-acme', 'key-of-other'] as const;
const JSON_TYPE = 'content-type: application/json';
const CERTIFICATE = new URL('../../../call-node/test/test-cert.pem', import.meta.url);

const startNodes = async (
  t: ExecutionContext,
  hosts: readonly string[],
  tls?: NodeSettings['tls'],
): Promise<{ readonly site: Site; readonly nodes: readonly RunningNode[] }> => {
  const site = await startSite({ pools: buildSegment(KEYS[0], new Map()).pools });
  const nodes = await Promise.all(
    hosts.map((host) =>
      runNode({
        host,
        failureDomain: 'd1',
        callers: '127.0.0.1:0',
        operators: '127.0.0.1:0',
        mesh: '127.0.0.1:0',
        platformUrl: site.platform.url,
        seeds: [],
        meshSecret: 'a-secret-of-the-tests',
        tls,
        limits: { maxBodyBytes: 20_000, maxHeaderBytes: 4_096, maxConnections: 100, maxBufferedBytes: 8_192 },
        platform: { writesPerSecond: 100, readsPerSecond: 500 },
        journal: { shards: 2, retentionMs: 7_200_000, minWriteIntervalMs: 20 },
        shutdown: { balancerDelayMs: 0, drainMs: 5_000 },
        log: { level: 'error' },
      }),
    ),
  );
  t.teardown(async () => {
    await Promise.all(nodes.map((node) => node.stop()));
    await site.close();
  });
  site.setNodes(
    nodes.map(({ meshAddress }, i) => ({
      host: hosts[i] ?? '',
      kind: 'node' as const,
      failureDomain: 'd1',
      state: 'live' as const,
      address: meshAddress,
    })),
  );
  const platform = createPlatformClient({
    url: site.platform.url,
    writesPerSecond: 100,
    readsPerSecond: 100,
  });
  const segment = buildSegment(KEYS[0], site.addresses);
  const [acme] = segment.accounts;
  if (acme === undefined) throw new Error('no account');
  const other = {
    ...acme,
    name: 'other',
    keys: [{ sha256: createHash('sha256').update(KEYS[1]).digest('hex') }],
  };
  await publishConfig(platform, { segments: [{ ...segment, accounts: [acme, other] }], author: 'test' });
  platform.close();
  for (const node of nodes) {
    await waitFor('readiness', async () => (await fetch(`${node.operatorsUrl}/readyz`)).status === 200);
  }
  return { site, nodes };
};

const readStatus = async (
  node: RunningNode,
): Promise<{ readonly running: number; readonly members: number }> => {
  const answer = (await (await fetch(`${node.operatorsUrl}/status`)).json()) as {
    readonly nodes: readonly { readonly runs: { readonly running: number } }[];
  };
  return { running: answer.nodes[0]?.runs.running ?? 0, members: answer.nodes.length };
};

const openSocket = (node: RunningNode): net.Socket => {
  const { hostname, port } = new URL(node.callersUrl);
  return net.connect(Number(port), hostname);
};

/** Sends raw text and returns what the node sends until it closes the connection. */
const sendRaw = async (node: RunningNode, text: string): Promise<string> => {
  const socket = openSocket(node).setEncoding('utf8');
  socket.on('error', () => undefined);
  let received = '';
  socket.on('data', (part: unknown) => (received += String(part)));
  socket.write(text);
  await once(socket, 'close');
  return received;
};

const buildRequest = (line: string, headers: readonly string[], body = '', close = true): string =>
  [
    `${line} HTTP/1.1`,
    'host: node',
    ...(close ? ['connection: close'] : []),
    ...headers,
    `content-length: ${String(Buffer.byteLength(body))}`,
    '',
    body,
  ].join('\r\n');

const buildKey = (account: 0 | 1): string => `authorization: Bearer ${KEYS[account]}`;
const COMPLETE = 'POST /v1/completions';
const BODY = JSON.stringify({ service: 'chat', prompt: 'a question', max_tokens: 2, conversation: 'c1' });

test('guards against invalid requests that get no typed error or stop the node', async (t) => {
  const { nodes } = await startNodes(t, ['n0']);
  const [node] = nodes;
  if (node === undefined) throw new Error('no node');
  const chunked = `${COMPLETE} HTTP/1.1\r\nhost: n\r\nconnection: close\r\n${buildKey(0)}\r\ntransfer-encoding: chunked\r\n\r\n`;
  const undated = ['idempotency-key: k', buildKey(0)];
  const cases: readonly (readonly [string, string, number, string])[] = [
    ['no key', buildRequest(COMPLETE, [], BODY), 401, 'unauthenticated'],
    ['a wrong key', buildRequest(COMPLETE, ['authorization: Bearer x'], BODY), 401, 'unauthenticated'],
    ['broken JSON', buildRequest(COMPLETE, [buildKey(0)], '{"service":'), 400, 'bad_request'],
    ['deep JSON', buildRequest(COMPLETE, [buildKey(0)], '['.repeat(19_000)), 400, 'bad_request'],
    [
      'an unknown service',
      buildRequest(COMPLETE, [buildKey(0)], BODY.replace('chat', 'x')),
      404,
      'unknown_service',
    ],
    [
      'an unknown plain service',
      buildRequest('POST /call/constructor/x', [buildKey(0)], '{}'),
      404,
      'unknown_service',
    ],
    ['a large body', buildRequest(COMPLETE, [buildKey(0)], 'x'.repeat(30_000)), 413, 'body_too_large'],
    ['a large chunk', `${chunked}7530\r\n${'x'.repeat(30_000)}\r\n0\r\n\r\n`, 413, 'body_too_large'],
    ['many headers', buildRequest(COMPLETE, Array<string>(2_500).fill('x: y'), BODY), 431, 'bad_request'],
    ['no HTTP', '\u0016\u0003\u0001\r\n\r\n', 400, 'bad_request'],
    [
      'no idempotency key',
      buildRequest('POST /call/book/b', [buildKey(0)], '{}'),
      400,
      'idempotency_key_required',
    ],
    [
      'a key without a date',
      buildRequest('POST /call/book/b', undated, '{}'),
      400,
      'idempotency_key_undated',
    ],
  ];
  for (const [name, text, status, code] of cases) {
    const answer = await sendRaw(node, text);
    t.true(answer.startsWith(`HTTP/1.1 ${String(status)} `), `${name}: ${answer.slice(0, 40)}`);
    t.true(answer.includes(`"code":"${code}"`) && answer.includes('"outcome":"not run"'), name);
  }
  const pipelined = buildRequest(COMPLETE, [buildKey(0), 'x-request-id: p1'], BODY, false);
  const last = buildRequest(COMPLETE, [buildKey(0), 'x-request-id: p2'], BODY);
  const both = await sendRaw(node, pipelined + last);
  t.deepEqual(
    both.match(/"id":"p\d"/g),
    ['"id":"p1"', '"id":"p2"'],
    'pipelined requests are answered in order',
  );
});

test('guards against a request id or idempotency key that is shared between accounts', async (t) => {
  const { site, nodes } = await startNodes(t, ['n0']);
  const [node] = nodes;
  if (node === undefined) throw new Error('no node');
  const first = await sendRaw(node, buildRequest(COMPLETE, [buildKey(0), 'x-request-id: r1'], BODY));
  // If the two accounts shared the id, the node would refuse it with another body.
  const changed = BODY.replace('a question', 'another one');
  const second = await sendRaw(node, buildRequest(COMPLETE, [buildKey(1), 'x-request-id: r1'], changed));
  t.regex(first, /^HTTP\/1\.1 200 /);
  t.regex(second, /^HTTP\/1\.1 200 /);

  const date = `idempotency-issued-at: ${String(Date.now())}`;
  const booking = ['idempotency-key: b1', date, JSON_TYPE];
  t.regex(
    await sendRaw(node, buildRequest('POST /call/book/b', [buildKey(0), ...booking], '{"a":1}')),
    /^HTTP\/1\.1 200 /,
  );
  const readOutcome = (account: 0 | 1) =>
    sendRaw(node, buildRequest('GET /outcome/book/b1', [buildKey(account), date]));
  t.regex(await readOutcome(0), /"state":"finished"/);
  t.regex(await readOutcome(1), /^HTTP\/1\.1 404 [^]*"outcome":"unknown"/);
  t.is([...site.services.values()][0]?.countRuns('b1'), 1);
});

test('guards against a run that continues after its caller disconnected', async (t) => {
  const { nodes } = await startNodes(t, ['n0']);
  const [node] = nodes;
  if (node === undefined) throw new Error('no node');
  const long = JSON.stringify({ service: 'chat', prompt: 'long', max_tokens: 5_000, stream: true });
  const socket = openSocket(node);
  socket.write(buildRequest(COMPLETE, [buildKey(0)], long));
  await once(socket, 'data');
  t.is((await readStatus(node)).running, 1);
  socket.destroy();
  await waitFor('the end of the run', async () => (await readStatus(node)).running === 0);
  // A caller that disconnects before it has sent its whole body must not affect the next request.
  const cut = openSocket(node);
  cut.write(`${COMPLETE} HTTP/1.1\r\nhost: n\r\n${buildKey(0)}\r\ncontent-length: 900\r\n\r\n{"ser`);
  await once(cut, 'connect');
  cut.destroy();
  t.regex(await sendRaw(node, buildRequest(COMPLETE, [buildKey(0)], BODY)), /^HTTP\/1\.1 200 /);
});

test('guards against caller or node connections without TLS when the settings require TLS', async (t) => {
  const certFile = fileURLToPath(CERTIFICATE);
  const { nodes } = await startNodes(t, ['n0', 'n1'], { certFile, keyFile: certFile.replace('cert', 'key') });
  await waitFor('both members', async () => {
    const views = await Promise.all(nodes.map(readStatus));
    return views.every(({ members }) => members === 2);
  });
  const ca = await readFile(CERTIFICATE);
  for (const node of nodes) {
    t.regex(node.callersUrl, /^https:/);
    const request = https.request(`${node.callersUrl}/v1/completions`, {
      method: 'POST',
      ca,
      checkServerIdentity: () => undefined,
      headers: { authorization: `Bearer ${KEYS[0]}` },
      agent: false,
    });
    request.end(BODY);
    const [response] = (await once(request, 'response')) as [
      NodeJS.ReadableStream & { readonly statusCode: number },
    ];
    let text = '';
    for await (const part of response) text += String(part);
    t.is(response.statusCode, 200);
    t.regex(text, /"output_tokens":2/);
    t.false((await sendRaw(node, buildRequest(COMPLETE, [buildKey(0)], BODY))).includes('"output_tokens"'));
    const [host, port] = node.meshAddress.split(':');
    const plain = net.connect(Number(port), host);
    plain.on('error', () => undefined);
    plain.write('GET / HTTP/1.1\r\nupgrade: websocket\r\nconnection: upgrade\r\n\r\n');
    await once(plain, 'close');
    t.false(plain.readableLength > 0 && String(plain.read()).includes('101'));
  }
});
