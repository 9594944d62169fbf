import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { createConfigFloor } from '@laburnumshift/confirm-config';
import type { ObjectSource, StoredObject } from '@laburnumshift/forward-types';
import { MESSAGE_KINDS } from '@laburnumshift/host-channel';
import { joinRevision } from '@laburnumshift/order-revisions';
import { chooseRelays, type PeerHost } from '@laburnumshift/share-load';
import { watchKind } from '@laburnumshift/watch-objects';
import { pack } from 'msgpackr';
import { findHome } from './find-home.js';
import type { Point } from './point.js';
import type { Series } from './series.js';

const KINDS = ['config', 'servers', 'versions', 'hosts'];
const SERVERS = [3000, 6000, 12_000];
/** Revision of a store with the changes of a day at the target size, and the eras without and after a restore. */
const REVISION = 40_000_000;
const ERAS = [0, 2];
/** Time in which messages after a restore are counted, milliseconds. */
const COUNT_MS = 2000;

/** Measures what the era of the store adds to messages, and what a host does after a restore. */
export async function measureStoreRestores(): Promise<readonly Series[]> {
  const { home, peers } = findHome();
  const plain = peers.find(({ failureDomain }) => failureDomain === home.failureDomain);
  if (plain === undefined) throw new Error('no plain host');
  const plainPeers = [home, ...peers.filter((peer) => peer !== plain)];
  const states = ERAS.map((era) => ({ x: era, y: countStateBytes(home, era) }));
  const changes = ERAS.map((era) => ({ x: era, y: countChangeBytes(era) }));
  const lists: Point[] = [];
  // The first run compiles the code.
  await measureRestoredList(SERVERS[0] ?? 0);
  for (const x of SERVERS) lists.push({ x, y: await measureRestoredList(x) });
  return [
    { name: 'states of the copies, a message', unit: 'bytes', per: 'era', points: states },
    { name: 'changed server in a page', unit: 'bytes', per: 'era', points: changes },
    {
      name: 'versions of the configuration sent by a home after a restore',
      unit: 'bytes/s',
      per: 'homes',
      points: [{ x: 1, y: await countFloorBytes(home, peers) }],
    },
    {
      name: 'versions of the configuration sent by a plain host after a restore',
      unit: 'bytes/s',
      per: 'hosts',
      points: [{ x: 1, y: await countFloorBytes(plain, plainPeers) }],
    },
    { name: 'list of unchanged servers after a restore', unit: 'ms', per: 'servers', points: lists },
  ];
}

function buildServer(number: number, revision: number): StoredObject {
  const id = `i-${number.toString(16).padStart(10, '0')}`;
  const spec = {
    service: 'models',
    address: `10.2.${String(number >> 8)}.${String(number & 255)}:8567`,
    zone: 'north',
    version: 'v1',
    slots: 12,
    state: 'ready',
    sequence: 812,
    born: 1_780_000_000_000,
    models: [{ name: 'model-a', version: 3, adapters: [] }],
  };
  return { name: id, revision, spec, status: null };
}

function countStateBytes({ host }: PeerHost, era: number): number {
  const revision = joinRevision({ era, revision: REVISION });
  const states = KINDS.map((kind) => [kind, revision, revision - 20, 412.5, null]);
  return pack([MESSAGE_KINDS.objectStates, host, 1_780_000_000_000, 4711, 12.5, states]).length;
}

function countChangeBytes(era: number): number {
  const object = buildServer(7, joinRevision({ era, revision: REVISION }));
  return Buffer.byteLength(JSON.stringify({ isRemoved: false, object }));
}

/** Counts the bytes that a host sends in a second after a restore. */
async function countFloorBytes(self: PeerHost, peers: readonly PeerHost[]): Promise<number> {
  const plan = chooseRelays(self, peers, () => false);
  let bytes = 0;
  let notifyRestore = (): void => undefined;
  const floor = createConfigFloor({
    self,
    channel: {
      sendMessage: (addresses, message) => {
        bytes += addresses.length * pack(message).length;
      },
      handleMessages: () => undefined,
    },
    listPeers: () => peers,
    getPlan: () => plan,
    era: { getEra: () => 2, getAgeMs: () => 0, watchRestores: (handler) => (notifyRestore = handler) },
    isFirstStart: true,
    getConfigVersion: () => 1200,
    getConfigAgeMs: () => 300,
  });
  notifyRestore();
  await sleep(COUNT_MS);
  floor.close();
  return bytes / (COUNT_MS / 1000);
}

/** Measures how long a host takes to compare a list of a restored store with its copy. */
async function measureRestoredList(count: number): Promise<number> {
  let era = 1;
  let notifyListed = (): void => undefined;
  const buildObjects = (): StoredObject[] =>
    Array.from({ length: count }, (_, index) =>
      buildServer(index, joinRevision({ era, revision: index + 1 })),
    );
  const source: ObjectSource = {
    listObjects: () =>
      Promise.resolve({
        kind: 'listed',
        objects: buildObjects(),
        revision: joinRevision({ era, revision: REVISION }),
      }),
    watchChanges: async () => {
      await sleep(50);
      era += 1;
      startedMs = readMonotonicMs();
      return { kind: 'compacted' };
    },
    writeStatus: () => Promise.resolve(true),
  };
  let startedMs = readMonotonicMs();
  const listed = new Promise<void>((resolve) => {
    notifyListed = resolve;
  });
  const view = watchKind({
    source,
    kind: 'servers',
    waitMs: 1000,
    onChanges: () => undefined,
    onRestored: () => {
      notifyListed();
    },
  });
  await listed;
  view.close();
  return readMonotonicMs() - startedMs;
}
