import { randomUUID } from 'node:crypto';
import type { ConfigHead } from '@laburnumshift/types';
import { buildHosts } from './build-hosts.js';
import { buildPlaceRequest } from './build-place-request.js';
import { buildRunReport } from './build-run-report.js';
import { buildSegments } from './build-segments.js';
import { countFrameBytes } from './count-frame-bytes.js';
import type { Point } from './point.js';
import type { Series } from './series.js';

const PIECES = [8, 32, 128];
const ACCOUNTS = [10, 100, 1000, 4100];
const HOSTS = [10, 100, 1000, 12_000];
const CANDIDATES = [2, 8, 24];
const CALL = { account: 'account-0123', service: 'service-0123', key: randomUUID(), attemptId: randomUUID() };
const HASH = 'h'.repeat(43);

/** Measures the encoded size of the messages between nodes, requests and replies, by what they grow with. */
export function measureMessages(): readonly Series[] {
  const measureSizes = (
    name: string,
    per: string,
    sizes: readonly number[],
    build: (size: number) => unknown,
  ): Series => ({
    name,
    unit: 'bytes',
    per,
    points: sizes.map((x): Point => ({ x, y: countFrameBytes(name.split(' ')[0] ?? name, build(x)) })),
  });
  const measureOne = (name: string, body: unknown): Series => measureSizes(name, 'messages', [1], () => body);
  const limits = { requestsPerSecond: 1.2345, tokensPerSecond: 345.67, concurrent: 3.25 };
  const buildHead = (accounts: number): ConfigHead => buildSegments(accounts, 70).head;
  return [
    measureSizes('place', 'pieces', PIECES, (size) => buildPlaceRequest('p1', size)),
    measureSizes('place reply', 'candidates', CANDIDATES, buildGrant),
    measureSizes('run-finished', 'pieces', PIECES, (size) => buildRunReport('p1', size, 'engine-1-0001')),
    measureOne('run-claim', {
      account: CALL.account,
      requestId: randomUUID(),
      host: 'entry-0001',
      address: '10.20.1.1:7100',
      bodyHash: HASH,
    }),
    measureOne('run-claim reply', { kind: 'claimed' }),
    measureOne('suspect-claim', { fingerprint: HASH, requestId: randomUUID(), host: 'entry-0001' }),
    measureOne('suspect-claim reply', { kind: 'clean' }),
    measureOne('share', { account: CALL.account, host: 'entry-0001', ...limits }),
    measureOne('share reply', { account: CALL.account, limits, validMs: 6000 }),
    measureOne('journal-begin', {
      ...CALL,
      bodyHash: HASH,
      node: 'entry-0001',
      incarnation: 1_790_000_000_000,
      system: 'own',
      issuedAtMs: 1_790_000_000_000,
      waitMs: 1000,
    }),
    measureOne('journal-finish', {
      ...CALL,
      answer: { status: 200, headers: { 'content-type': 'application/json' }, body: 'b'.repeat(200) },
    }),
    measureOne('journal reply', { kind: 'run', attemptId: CALL.attemptId, system: 'own' }),
    measureSizes('config-head', 'accounts', ACCOUNTS, () => ({ generation: 35_000 })),
    measureSizes('config-get reply', 'accounts', ACCOUNTS, (size) => ({
      head: { ...buildHead(size), segments: buildSegments(1, 0).head.segments },
      base: 34_999,
      removed: [],
      segments: Object.fromEntries([...buildSegments(size, 70).segments].slice(0, 1)),
    })),
    measureSizes('config-get reply from nothing', 'accounts', ACCOUNTS, (size) => ({
      head: buildHead(size),
      segments: Object.fromEntries(buildSegments(size, 70).segments),
    })),
    measureSizes('hosts', 'hosts', HOSTS, (size) => buildHosts(size, 0)),
  ];
}

function buildGrant(candidates: number): unknown {
  return {
    kind: 'granted',
    grant: {
      engine: 'engine-1-0001',
      url: 'http://10.41.0.1:8000',
      weightVersion: 'v1',
      cacheScope: HASH,
      cachedPieces: 4,
      headPieces: 8,
      imports: [],
      estimateMs: 210.5,
      candidates: Array.from({ length: candidates }, (_, i) => ({
        engine: `engine-1-${String(i).padStart(4, '0')}`,
        queueMs: 12.5,
        transferMs: 0,
        prefillMs: 238.75,
        cost: 251.5,
      })),
    },
  };
}
