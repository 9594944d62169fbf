import http from 'node:http';
import net from 'node:net';
import type { CacheEvent, CacheEventsPage } from '@laburnumshift/forward-types';
import { createEventsRelay, type EventsRelayOptions } from '@laburnumshift/relay-events';
import { findFreePort, waitFor } from '@laburnumshift/test-utils';
import { createServerTracker } from '@laburnumshift/track-engines';
import test, { type ExecutionContext } from 'ava';

const findAddress = async (): Promise<string> => `127.0.0.1:${String(await findFreePort())}`;
const NO_OBJECTS: EventsRelayOptions['objects'] = {
  listWantedKinds: () => [],
  applyRelayedChanges: () => true,
  stopFollowing: () => undefined,
  isStoreDown: () => false,
  probeStore: () => Promise.resolve(),
};
const add = (piece: string): CacheEvent => ({ isAdded: true, scope: 's', piece, tokens: 10 });

/** A fake engine whose events the test adds. It counts the reads of its events. */
const createEngine = () => {
  const events: CacheEvent[] = [];
  let bootId = 'b1';
  let reads = 0;
  return {
    addEvent: (event: CacheEvent): void => {
      events.push(event);
    },
    restart: (): void => {
      events.length = 0;
      bootId = 'b2';
    },
    countReads: () => reads,
    readEvents: async (_: string, since: number): Promise<CacheEventsPage> => {
      reads += 1;
      await new Promise((resolve) => setTimeout(resolve, 20));
      const from = since > events.length ? 0 : since;
      return { bootId, next: events.length, hasGap: false, clockMs: 1000, events: events.slice(from) };
    },
  };
};
const startHost = async (
  t: ExecutionContext,
  readEvents: (address: string, since: number) => Promise<CacheEventsPage | undefined>,
  getUpstream: () => string | undefined,
  address?: string,
  objects: Partial<Pick<EventsRelayOptions, 'objects' | 'readObjects'>> = {},
) => {
  const serverTracker = createServerTracker();
  const own = address ?? (await findAddress());
  const relay = await createEventsRelay({
    control: { readEvents },
    serverTracker,
    address: own,
    getUpstream,
    objects: { ...NO_OBJECTS },
    readObjects: () => undefined,
    ...objects,
  });
  relay.startReading('e', '10.0.0.1:80', 10);
  relay.startReading('f', '10.0.0.2:80', 10);
  t.teardown(relay.close);
  const listPieces = (): string[] =>
    serverTracker
      .getPieceTable('e')
      .listPieces(() => true)
      .map(({ piece }) => piece);
  return { relay, address: own, listPieces };
};

test('a follower receives the pieces that its relay reads and reads no engine itself', async (t) => {
  const engine = createEngine();
  engine.addEvent(add('x'));
  const first = await startHost(t, engine.readEvents, () => undefined);
  await waitFor('the first piece', () => first.listPieces().length === 1);
  const second = await startHost(
    t,
    () => Promise.reject(new Error('the follower read an engine')),
    () => first.address,
  );
  await waitFor('an engine read through the relay', () => second.relay.isReading('e'), 4000);
  t.deepEqual(second.listPieces(), ['x']);
  t.is(second.relay.getBootId('e'), 'b1');
  t.true((second.relay.readClockMs() ?? 0) >= 1000);
  engine.addEvent(add('y'));
  engine.addEvent({ ...add('x'), isAdded: false, tokens: 0 });
  await waitFor('the next events', () => second.listPieces().join() === 'y', 4000);
  engine.restart();
  engine.addEvent(add('z'));
  await waitFor('the restart', () => second.listPieces().join() === 'z', 4000);
  t.is(second.relay.getBootId('e'), 'b2');
});

test('a follower whose relay stopped reads the engines itself, and follows the next relay', async (t) => {
  const engine = createEngine();
  engine.addEvent(add('x'));
  const first = await startHost(t, engine.readEvents, () => undefined);
  let upstream: string | undefined = first.address;
  const second = await startHost(t, engine.readEvents, () => upstream);
  await waitFor('an engine read through the relay', () => second.relay.isReading('e'), 4000);
  first.relay.close();
  const before = engine.countReads();
  await waitFor('direct reads of the engine', () => engine.countReads() > before + 3, 8000);
  engine.addEvent(add('y'));
  await waitFor('events read directly', () => second.listPieces().length === 2, 4000);
  const third = await startHost(t, engine.readEvents, () => undefined);
  upstream = third.address;
  engine.addEvent(add('w'));
  await waitFor('events of the new relay', () => second.listPieces().length === 3, 4000);
  t.true(second.relay.isReading('e'));
});

test('two hosts that follow each other still read the engines', async (t) => {
  const engine = createEngine();
  engine.addEvent(add('x'));
  const address = await findAddress();
  const first = await startHost(t, engine.readEvents, () => address);
  const second = await startHost(t, engine.readEvents, () => first.address, address);
  await waitFor(
    'the piece on both hosts',
    () => first.listPieces().length === 1 && second.listPieces().length === 1,
    8000,
  );
  t.true(engine.countReads() > 0);
});

test('a damaged page is ignored and the host reads the engines itself', async (t) => {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc');
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  const engine = createEngine();
  engine.addEvent(add('x'));
  const host = await startHost(t, engine.readEvents, () => `127.0.0.1:${String(port)}`);
  await waitFor('direct reads in place of the relay', () => host.listPieces().join() === 'x', 8000);
  t.true(host.relay.isReading('e'));
});

test('requests with malformed numbers are rejected with 400', async (t) => {
  const engine = createEngine();
  engine.addEvent(add('x'));
  const host = await startHost(t, engine.readEvents, () => undefined);
  for (const path of ['//', '/?since=x', '/?since=-1', '/?life=a&since=1.5', '/?kind=a:x', '/?kind=a:-1']) {
    const status = await new Promise<number | undefined>((resolve, reject) => {
      const [ip, port] = host.address.split(':');
      http
        .get({ host: ip, port, path, agent: false }, (response) => {
          response.resume();
          resolve(response.statusCode);
        })
        .on('error', reject);
    });
    t.is(status, path === '//' ? 200 : 400);
  }
});

test('a follower receives the platform object changes of its relay with their ages', async (t) => {
  const engine = createEngine();
  const object = { name: 'a', revision: 12, spec: { x: 1 }, status: null };
  const requested: (readonly [string, number])[] = [];
  const first = await startHost(t, engine.readEvents, () => undefined, undefined, {
    readObjects: (kind, after) => {
      requested.push([kind, after]);
      if (kind === 'unknown') return undefined;
      const changes = after < 12 ? [{ isRemoved: false, object }] : [];
      return { after, changes, revision: 15, ageMs: 40, changedMs: 90, recoveredMs: Infinity };
    },
  });
  const received: Parameters<EventsRelayOptions['objects']['applyRelayedChanges']>[] = [];
  await startHost(t, engine.readEvents, () => first.address, undefined, {
    objects: {
      ...NO_OBJECTS,
      listWantedKinds: () => [
        ['servers', 9],
        ['unknown', 3],
      ],
      applyRelayedChanges: (...answer) => received.push(answer) > 0,
      stopFollowing: () => undefined,
    },
  });
  await waitFor('an answer', () => received.length > 0, 4000);
  t.deepEqual(requested.slice(0, 2), [
    ['servers', 9],
    ['unknown', 3],
  ]);
  const [answers, elapsedMs] = received[0] ?? [new Map(), -1];
  t.deepEqual(answers.get('servers'), {
    after: 9,
    changes: [{ isRemoved: false, object }],
    revision: 15,
    ageMs: 40,
    changedMs: 90,
    recoveredMs: Infinity,
  });
  t.is(answers.get('unknown'), undefined);
  t.true(answers.has('unknown'));
  t.true(elapsedMs >= 0);
});

test('a follower stops following platform objects when its relay has stopped', async (t) => {
  const engine = createEngine();
  const first = await startHost(t, engine.readEvents, () => undefined);
  let stops = 0;
  let answers = 0;
  await startHost(t, engine.readEvents, () => first.address, undefined, {
    objects: {
      ...NO_OBJECTS,
      listWantedKinds: () => [],
      applyRelayedChanges: () => (answers += 1) > 0,
      stopFollowing: () => (stops += 1),
    },
  });
  await waitFor('an answer', () => answers > 0, 4000);
  const before = stops;
  first.relay.close();
  await waitFor('the end of following', () => stops > before, 4000);
  t.pass();
});
