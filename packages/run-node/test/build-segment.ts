import { createHash } from 'node:crypto';
import type { ConfigSegment } from '@laburnumshift/types';

const SERVER = {
  failureDomain: 'd1',
  checksFencing: true,
  slots: 4,
  prefillTokensPerSecond: 50_000,
  decodeTokensPerSecond: 100,
};
const SERVICE = {
  priority: 'normal' as const,
  accounts: '*' as const,
  deadlineMs: 10_000,
  weights: { perMs: 1, perKiloTokenRecomputed: 50, perMebibyteMoved: 0.05 },
  retry: { ratio: 0.5, minPerSecond: 5, maxAttempts: 3 },
};

/**
 * Builds a configuration segment with one model pool, one plain pool and one account. `addresses` maps each declared URL to the
 * URL of its fake server.
 */
export function buildSegment(key: string, addresses: ReadonlyMap<string, string>): ConfigSegment {
  const placeServer = (name: string) => {
    const url = `http://declared.invalid/${name}`;
    return { name, url: addresses.get(url) ?? url };
  };
  const pool = { stores: [], adapters: [], pieceTokens: 100, pieceBytes: 1_000, urgentSlots: 1 };
  return {
    file: 'test.laburnum.jsonc',
    accounts: [
      {
        name: 'acme',
        keys: [{ sha256: createHash('sha256').update(key).digest('hex') }],
        weight: 1,
        limits: { requestsPerSecond: 1_000, tokensPerSecond: 1e6, concurrent: 100 },
        storeBytes: 1e9,
      },
    ],
    services: [
      { ...SERVICE, name: 'chat', kind: 'model', idempotent: true, model: 'm' },
      { ...SERVICE, name: 'book', kind: 'plain', idempotent: false },
    ],
    pools: [
      {
        ...pool,
        name: 'models',
        kind: 'model',
        model: 'm',
        weightVersion: 'v1',
        servers: ['e1', 'e2'].map((name) => ({ ...SERVER, ...placeServer(name) })),
      },
      { ...pool, name: 'apps', kind: 'plain', servers: [{ ...SERVER, ...placeServer('s1') }] },
    ],
    routes: [
      { name: 'chat', order: 1, service: 'chat', pool: 'models' },
      { name: 'book', order: 1, service: 'book', pool: 'apps' },
    ],
  };
}
