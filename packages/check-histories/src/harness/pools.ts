import type { BackendServer, PoolConfig, StoreHost } from '@laburnumshift/types';
import { MODEL } from './model.js';
import { PIECE_TOKENS } from './piece-tokens.js';

const DOMAINS = ['domain-0', 'domain-1', 'domain-2'];
const ENGINES = 4;
const INSTANCES = 3;
const STORES = 2;
/**
 * Rates at which a prompt takes some 30 ms and an answer about 50 ms, so that faults fall into the middle, and at which importing
 * a piece (1 ms) costs less than computing it (5 ms).
 */
const PREFILL = 10_000;
const DECODE = 250;
const PIECE_BYTES = 1_000_000;

const findDomain = (index: number): string => DOMAINS[index % DOMAINS.length] ?? '';
const buildServer = (name: string, index: number): BackendServer => ({
  name: `${name}-${String(index + 1)}`,
  // The site replaces the address by that of the fake; the port only makes it unique.
  url: `http://${name}:${String(index + 1)}`,
  failureDomain: findDomain(index),
  checksFencing: index % 2 === 0,
  slots: 6,
  prefillTokensPerSecond: PREFILL,
  decodeTokensPerSecond: DECODE,
});
const buildStore = (index: number): StoreHost => ({
  name: `store-${String(index + 1)}`,
  url: `http://store:${String(index + 1)}`,
  failureDomain: findDomain(index),
  memoryBytes: 20 * PIECE_BYTES,
  diskBytes: 200 * PIECE_BYTES,
  linkBytesPerSecond: 1e9,
  diskBytesPerSecond: 1e9,
});
const buildList = <T>(count: number, build: (index: number) => T): readonly T[] =>
  Array.from({ length: count }, (_, index) => build(index));

/** Pools as declared: one of engines with stores, one of plain service instances. */
export const POOLS: readonly [PoolConfig, PoolConfig] = [
  {
    name: 'stories',
    kind: 'model',
    servers: buildList(ENGINES, (index) => buildServer('engine', index)),
    stores: buildList(STORES, buildStore),
    model: MODEL,
    weightVersion: 'v1',
    adapters: [],
    pieceTokens: PIECE_TOKENS,
    pieceBytes: PIECE_BYTES,
    urgentSlots: 1,
  },
  {
    name: 'desks',
    kind: 'plain',
    servers: buildList(INSTANCES, (index) => buildServer('desk', index)),
    stores: [],
    adapters: [],
    pieceTokens: PIECE_TOKENS,
    pieceBytes: PIECE_BYTES,
    urgentSlots: 0,
  },
];
