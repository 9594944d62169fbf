import type { IncomingMessage, ServerResponse } from 'node:http';
import { computeStat } from './compute-stat.js';
import { DEFAULT_STORE_FAULTS } from './default-store-faults.js';
import type { FakeStore } from './fake-store.js';
import type { FakeStoreOptions } from './fake-store-options.js';
import { PieceTable } from './piece-table.js';
import { replyAtPoint } from './reply-at-point.js';
import { sendJson } from './send-json.js';
import { SharedLink } from './shared-link.js';
import { startFakeServer } from './start-fake-server.js';
import type { StoreContext } from './store-context.js';
import type { StoreFaults } from './store-faults.js';
import { STORE_ROUTES } from './store-routes.js';
import type { StoreSettings } from './store-settings.js';

const GIB = 1024 ** 3;

/** Starts a store host on the loopback interface with modelled sizes and rates and fault switches. */
export async function startFakeStore(options: FakeStoreOptions = {}): Promise<FakeStore> {
  const settings: StoreSettings = {
    name: options.name ?? 'store',
    port: options.port ?? 0,
    memoryBytes: options.memoryBytes ?? GIB,
    diskBytes: options.diskBytes ?? 8 * GIB,
    linkBytesPerSecond: options.linkBytesPerSecond ?? 4 * GIB,
    diskBytesPerSecond: options.diskBytesPerSecond ?? GIB,
  };
  const { name } = settings;
  let faults = DEFAULT_STORE_FAULTS;
  const table = new PieceTable({ memory: settings.memoryBytes, disk: settings.diskBytes });
  const link = new SharedLink(
    () => settings.linkBytesPerSecond * faults.linkFactor * (1 - faults.otherShare),
  );
  const disk = new SharedLink(() => settings.diskBytesPerSecond);
  const handleRequest = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = new URL(request.url ?? '/', 'http://store');
    const [, root = '', key, action] = url.pathname.split('/');
    const path = `/${root}${key === undefined ? '' : '/KEY'}${action === undefined ? '' : `/${action}`}`;
    const closed = new AbortController();
    response.on('close', () => {
      closed.abort();
    });
    const call = {
      context,
      request,
      response,
      url,
      key: decodeURIComponent(key ?? ''),
      signal: closed.signal,
    };
    const route = `${request.method ?? ''} ${path}`;
    if (route === 'GET /stat') {
      replyAtPoint(call, 'stat', () => ({ status: 200, value: computeStat(context, settings) }));
      return;
    }
    const handler = STORE_ROUTES[route];
    if (handler === undefined) sendJson(context.server, response, 404, { error: 'no such path' });
    else await handler(call);
  };
  const server = await startFakeServer(settings.port, handleRequest);
  const setFaults = (patch: Partial<StoreFaults>): void => {
    faults = { ...faults, ...patch, silenceOpen: false };
    if (patch.silenceOpen === true) server.silenceOpen();
    if (patch.dead !== undefined) server.setRefusing(patch.dead);
  };
  const context: StoreContext = {
    name,
    server,
    table,
    link,
    disk,
    counters: { puts: 0, reads: 0, moves: 0, deletes: 0, linkBytes: 0 },
    getFaults: () => faults,
    setFaults,
  };
  return {
    name,
    url: server.url,
    port: server.port,
    setFaults,
    getFaults: () => faults,
    getStat: () => computeStat(context, settings),
    getCounters: () => ({ ...context.counters, pins: table.countPins() }),
    listPieces: () =>
      table.listPieces().map(({ key, tier, generation, body, checksum, bytes }) => {
        const [scope = '', chain = ''] = key.split(':');
        return { scope, chain, store: name, tier, generation, length: body.length, checksum, bytes };
      }),
    freePiece: (key) => {
      table.dropPiece(key);
    },
    rewritePiece: (key) => {
      table.replaceContent(key);
    },
    close: () => server.close(),
  };
}
