import { sleep } from '@laburnumshift/clock';
import { createServerLimits, type ServerLimits } from '@laburnumshift/limit-server-rates';
import { chooseRelays, type PeerHost } from '@laburnumshift/share-load';
import { pack } from 'msgpackr';
import { findHome } from './find-home.js';
import { measureHeap } from './measure-heap.js';
import { measureTime } from './measure-time.js';
import type { Point } from './point.js';
import type { Series } from './series.js';

const LIMITED_SERVERS = [1, 8, 24];
const MEMORY_SERVERS = [64, 256, 1024];
/** Time in which messages are counted, and interval of the answers that state the limits, milliseconds. */
const COUNT_MS = 3000;
const ANSWER_INTERVAL_MS = 200;

/** Measures what a host at the target size knows and sends of servers that state limits. */
export async function measureServerLimits(): Promise<readonly Series[]> {
  const { home, peers } = findHome();
  const plain = peers.find(
    (peer) =>
      !chooseRelays(peer, [home, ...peers.filter((one) => one !== peer)], () => false).isRelay &&
      peer.failureDomain === home.failureDomain,
  );
  if (plain === undefined) throw new Error('no plain host');
  const plainPeers = [home, ...peers.filter((peer) => peer !== plain)];
  const memory: Point[] = [];
  for (const x of MEMORY_SERVERS)
    memory.push({ x, y: await measureHeap(() => buildLimits(home, peers, x, () => undefined)) });
  const sentByHome: Point[] = [];
  const sentByPlain: Point[] = [];
  for (const x of LIMITED_SERVERS) {
    sentByHome.push({ x, y: await countBytes(home, peers, x) });
    sentByPlain.push({ x, y: await countBytes(plain, plainPeers, x) });
  }
  const limits = buildLimits(home, peers, 24, () => undefined);
  const check = measureTime((turn) => {
    limits.hasRoom(buildServer(turn % 24));
  });
  limits.close();
  return [
    { name: 'memory of limits', unit: 'bytes', per: 'limited servers', points: memory },
    { name: 'sent by a home', unit: 'bytes/s', per: 'limited servers', points: sentByHome },
    { name: 'sent by a plain host', unit: 'bytes/s', per: 'limited servers', points: sentByPlain },
    { name: 'check a limited server', unit: 'us', per: 'checks', points: [{ x: 1, y: check }] },
  ];
}

function buildServer(number: number): {
  readonly id: string;
  readonly bornMs: number;
  readonly service: string;
} {
  return { id: `i-${number.toString(16).padStart(10, '0')}`, bornMs: 1_780_000_000_000, service: 'models' };
}

function buildLimits(
  self: PeerHost,
  peers: readonly PeerHost[],
  servers: number,
  onBytes: (bytes: number) => void,
): ServerLimits {
  const plan = chooseRelays(self, peers, () => false);
  const limits = createServerLimits({
    self,
    listPeers: () => peers,
    getPlan: () => plan,
    pickRandom: () => 0.5,
    channel: {
      sendMessage: (addresses, message) => {
        onBytes(addresses.length * pack(message).length);
      },
      handleMessages: () => undefined,
    },
  });
  for (let number = 0; number < servers; number += 1) {
    limits.observeLimit(buildServer(number), 4.3);
    limits.hasRoom(buildServer(number));
  }
  return limits;
}

/** Counts the bytes that a host sends in a second while servers go on to state their limits. */
async function countBytes(self: PeerHost, peers: readonly PeerHost[], servers: number): Promise<number> {
  let bytes = 0;
  const limits = buildLimits(self, peers, servers, (count) => {
    bytes += count;
  });
  for (let elapsedMs = 0; elapsedMs < COUNT_MS; elapsedMs += ANSWER_INTERVAL_MS) {
    for (let number = 0; number < servers; number += 1) limits.observeLimit(buildServer(number), 4.3);
    await sleep(ANSWER_INTERVAL_MS);
  }
  limits.close();
  return bytes / (COUNT_MS / 1000);
}
