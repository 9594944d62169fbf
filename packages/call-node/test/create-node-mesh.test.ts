import { fileURLToPath } from 'node:url';
import { createServer, connect, type AddressInfo, type Socket } from 'node:net';
import test from 'ava';
import { WebSocket } from 'ws';
import { createNodeMesh, type MeshLimits } from '@laburnumshift/call-node';
import { waitFor } from '@laburnumshift/test-utils';
import type { NodeMesh } from '@laburnumshift/types';

const secret = 'a shared secret of nodes';
const openMesh = (limits: Partial<MeshLimits> = {}, own = secret): Promise<NodeMesh> =>
  createNodeMesh({ listen: '127.0.0.1:0', secret: own, limits });

/** Starts a TCP relay that can stop forwarding on its open connections while new ones still work. */
async function startRelay(port: number) {
  const sockets = new Set<Socket>();
  const server = createServer((near) => {
    const far = connect(port, '127.0.0.1');
    for (const [from, to] of [
      [near, far],
      [far, near],
    ] as const) {
      sockets.add(from);
      from.on('error', () => to.destroy());
      from.on('close', () => to.destroy());
      from.on('data', (data) => to.write(data));
    }
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${String((server.address() as AddressInfo).port)}`,
    silence: () => {
      for (const socket of sockets) socket.removeAllListeners('data').resume();
    },
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

test('guards against requests to a node or to itself that lose the body, the sender or the error of the handler', async (t) => {
  const [a, b] = [await openMesh(), await openMesh()];
  b.handleMessage('probe', (body, from) => Promise.resolve({ body, from }));
  b.handleMessage('status', () => Promise.reject(new Error('broken')));
  const reply = await a.callNode(b.getAddress(), 'probe', { n: 1 }, 1000);
  t.deepEqual(reply, { ok: true, value: { body: { n: 1 }, from: a.getAddress() } });
  const local = await b.callNode(b.getAddress(), 'probe', 7, 1000);
  t.deepEqual(local, { ok: true, value: { body: 7, from: b.getAddress() } });
  const failed = await a.callNode(b.getAddress(), 'status', null, 1000);
  t.like(failed, { ok: false, error: { kind: 'refused', detail: 'broken' } });
  t.is(a.getCounts()['sent.probe.messages'], 1);
  t.throws(() => {
    b.handleMessage('probe', () => Promise.resolve(null));
  });
  await Promise.all([a.close(), b.close()]);
  t.like(await a.callNode(b.getAddress(), 'probe', null, 1000), { ok: false });
});

test('guards against messages from a peer that does not know the secret', async (t) => {
  const [a, b] = [await openMesh(), await openMesh({}, 'another secret of nodes')];
  b.handleMessage('probe', () => Promise.resolve(t.fail()));
  t.like(await a.callNode(b.getAddress(), 'probe', null, 2000), {
    ok: false,
    error: { kind: 'unreachable' },
  });
  const raw = new WebSocket(`ws://${b.getAddress()}`);
  await new Promise((resolve) => raw.once('open', resolve));
  raw.send(Buffer.from([0xc1, 0x01]));
  await new Promise((resolve) => raw.once('close', resolve));
  t.is(b.getCounts()['links.bad-frame'], 1);
  await Promise.all([a.close(), b.close()]);
});

test('guards against a request stuck on a silent link and against a handler that runs twice when the link is replaced', async (t) => {
  const [a, b] = [await openMesh({ heartbeatMs: 20, silentMs: 60 }), await openMesh()];
  const relay = await startRelay(Number(b.getAddress().split(':')[1]));
  let runs = 0;
  let release = (): void => undefined;
  const held = new Promise<void>((resolve) => {
    release = resolve;
  });
  b.handleMessage('probe', async () => {
    runs += 1;
    await held;
    return runs;
  });
  const reply = a.callNode(relay.address, 'probe', null, 20_000);
  await waitFor('the handler', () => runs === 1);
  relay.silence();
  await waitFor('a new link', () => (b.getCounts()['received.probe.messages'] ?? 0) === 2);
  release();
  t.deepEqual(await reply, { ok: true, value: 1 });
  relay.close();
  await Promise.all([a.close(), b.close()]);
});

test('guards against unbounded frames and unbounded numbers of pending requests', async (t) => {
  const [a, b] = [await openMesh({ maxFrameBytes: 1000, maxPendingRequests: 2 }), await openMesh()];
  b.handleMessage('probe', () => new Promise(() => undefined));
  t.like(await a.callNode(b.getAddress(), 'probe', 'x'.repeat(2000), 1000), {
    ok: false,
    error: { kind: 'refused', detail: 'too-large' },
  });
  void a.callNode(b.getAddress(), 'probe', 1, 10_000);
  void a.callNode(b.getAddress(), 'probe', 2, 10_000);
  t.like(await a.callNode(b.getAddress(), 'probe', 3, 1000), { ok: false, error: { kind: 'refused' } });
  await Promise.all([a.close(), b.close()]);
});

test('guards against a mesh that runs without TLS when the configured TLS files are missing', async (t) => {
  const tls = { certFile: '/nonexistent/cert.pem', keyFile: '/nonexistent/key.pem' };
  await t.throwsAsync(createNodeMesh({ listen: '127.0.0.1:0', secret, tls }));
});

test('guards against TLS nodes that refuse each other and against a node without TLS in a TLS mesh', async (t) => {
  const readPath = (name: string): string => fileURLToPath(new URL(`../../test/${name}`, import.meta.url));
  const tls = { certFile: readPath('test-cert.pem'), keyFile: readPath('test-key.pem') };
  const openTls = (): Promise<NodeMesh> => createNodeMesh({ listen: '127.0.0.1:0', secret, tls });
  const [a, b, c] = [await openTls(), await openTls(), await openMesh()];
  b.handleMessage('probe', (body) => Promise.resolve(body));
  t.deepEqual(await a.callNode(b.getAddress(), 'probe', 5, 2000), { ok: true, value: 5 });
  t.like(await c.callNode(b.getAddress(), 'probe', 5, 2000), { ok: false, error: { kind: 'unreachable' } });
  await Promise.all([a.close(), b.close(), c.close()]);
});
