import { createHash } from 'node:crypto';
import { hashSegment } from '@laburnumshift/check-declarations';
import type { BackendServer, ConfigHead, ConfigSegment } from '@laburnumshift/types';

const MODELS = 7;

/** Builds a configuration of so many accounts, one file each with its service and route, and pools with the engines. */
export function buildSegments(
  accounts: number,
  engines: number,
): { readonly head: ConfigHead; readonly segments: ReadonlyMap<string, ConfigSegment> } {
  const segments = new Map<string, ConfigSegment>();
  const files: Record<string, string> = {};
  const addSegment = (segment: ConfigSegment): void => {
    const hash = hashSegment(segment);
    segments.set(hash, segment);
    files[segment.file] = hash;
  };
  for (let i = 0; i < accounts; i += 1) addSegment(buildAccount(i));
  for (let model = 0; model < MODELS; model += 1) {
    addSegment(buildPool(model, Math.ceil(engines / MODELS)));
  }
  const head = { generation: 1, changeId: 'change-1', author: 'operator', publishedAtMs: 1, segments: files };
  return { head, segments };
}

function buildAccount(i: number): ConfigSegment {
  const id = String(i).padStart(4, '0');
  const sha256 = createHash('sha256').update(id).digest('hex');
  const limits = { requestsPerSecond: 100, tokensPerSecond: 30_000, concurrent: 200 };
  return {
    file: `accounts/account-${id}.laburnum.jsonc`,
    accounts: [{ name: `account-${id}`, keys: [{ sha256 }], weight: 1, limits, storeBytes: 1e12 }],
    services: [
      {
        name: `service-${id}`,
        kind: 'model',
        priority: 'normal',
        idempotent: true,
        accounts: [`account-${id}`],
        model: `model-${String(i % MODELS)}`,
        deadlineMs: 10_000,
        weights: { perMs: 1, perKiloTokenRecomputed: 5, perMebibyteMoved: 0.1 },
        retry: { ratio: 0.1, minPerSecond: 1, maxAttempts: 3 },
      },
    ],
    pools: [],
    routes: [
      { name: `route-${id}`, order: 10, service: `service-${id}`, pool: `pool-${String(i % MODELS)}` },
    ],
  };
}

function buildPool(model: number, engines: number): ConfigSegment {
  const servers = Array.from({ length: engines }, (_, i): BackendServer => ({
    name: `engine-${String(model)}-${String(i).padStart(4, '0')}`,
    url: `http://10.${String(40 + model)}.${String(i >> 8)}.${String(i & 255)}:8000`,
    failureDomain: `region-${String(i % 3)}-domain-${String(i % 9)}`,
    checksFencing: true,
    slots: 16,
    prefillTokensPerSecond: 20_000,
    decodeTokensPerSecond: 25,
  }));
  const name = `pool-${String(model)}`;
  const pool = { name, kind: 'model' as const, servers, stores: [], model: `model-${String(model)}` };
  const sizes = { pieceTokens: 2000, pieceBytes: 1e8, urgentSlots: 2 };
  return {
    file: `pools/${name}.laburnum.jsonc`,
    accounts: [],
    services: [],
    pools: [{ ...pool, weightVersion: 'v1', adapters: [], ...sizes }],
    routes: [],
  };
}
