import test from 'ava';
import fc from 'fast-check';
import { installClock } from '@laburnumshift/test-utils';
import { createCacheDirectory } from '@laburnumshift/track-cache';
import type { CacheEvent, PieceRef, StoredPiece } from '@laburnumshift/types';

const SCOPES = ['s1', 's2'];
const CHAINS = ['c0', 'c1', 'c2', 'c3', 'c4'];
const ENGINES = Array.from({ length: 70 }, (_, index) => `e${String(index)}`);
const ASSUMED_TTL_MS = 1_000;

function buildPieces(count: number): PieceRef[] {
  return CHAINS.slice(0, count).map((chain) => ({ chain, tokens: 2_000 }));
}

function buildEvent(seq: number, type: CacheEvent['type'], scope: string, chain: string): CacheEvent {
  return { seq, at: 0, type, scope, chain };
}

/** Reference model with plain sets: the confirmed pieces, and the time until which each other piece is assumed. */
class ReferenceModel {
  readonly seqs = new Map<string, number>();
  readonly confirmed = new Set<string>();
  readonly assumed = new Map<string, number>();

  hasPiece(engine: string, scope: string, chain: string, nowMs: number): boolean {
    const key = `${engine}/${scope}/${chain}`;
    return this.confirmed.has(key) || (this.assumed.get(key) ?? 0) > nowMs;
  }

  clearEngine(engine: string, keepsAssumed: boolean): void {
    for (const key of this.confirmed) if (key.startsWith(`${engine}/`)) this.confirmed.delete(key);
    if (keepsAssumed) return;
    for (const key of this.assumed.keys()) if (key.startsWith(`${engine}/`)) this.assumed.delete(key);
  }

  countPrefix(scope: string, count: number, nowMs: number): Map<string, number> {
    const counts = new Map<string, number>();
    for (const engine of ENGINES) {
      const missing = CHAINS.slice(0, count).findIndex(
        (chain) => !this.hasPiece(engine, scope, chain, nowMs),
      );
      const length = missing < 0 ? count : missing;
      if (length > 0) counts.set(engine, length);
    }
    return counts;
  }
}

const engine = fc.constantFrom('e0', 'e1', 'e31', 'e32', 'e63', 'e69');
const scope = fc.constantFrom(...SCOPES);
const chain = fc.constantFrom(...CHAINS);
const operation = fc.oneof(
  { weight: 6, arbitrary: fc.record({ do: fc.constant('stored' as const), engine, scope, chain }) },
  fc.record({ do: fc.constant('evicted' as const), engine, scope, chain }),
  fc.record({ do: fc.constant('gap' as const), engine, scope, chain }),
  fc.record({ do: fc.constant('stale' as const), engine, scope, chain }),
  fc.record({ do: fc.constant('replace' as const), engine, scope, chain }),
  fc.record({ do: fc.constant('remove' as const), engine, scope, chain }),
  { weight: 3, arbitrary: fc.record({ do: fc.constant('run' as const), engine, scope, chain }) },
  fc.record({ do: fc.constant('wait' as const), engine, scope, chain }),
);

// Guards against counts that contradict the events: reads of the wrong word of a bit set, stale events that are applied, gaps that are
// not reported, pieces that remain after their engine was removed, and assumed pieces that count after they expired.
test('the counts agree with a reference model after random operations', (t) => {
  const clock = installClock();
  const property = fc.property(fc.array(operation, { maxLength: 60 }), (operations) => {
    const directory = createCacheDirectory({ assumedPieceTtlMs: ASSUMED_TTL_MS, minConfirmationRate: 0 });
    const model = new ReferenceModel();
    for (const name of ENGINES) directory.replaceEngine(name, 0, []);
    for (const { do: action, engine: name, scope: at, chain: piece } of operations) {
      const seq = model.seqs.get(name) ?? 0;
      const key = `${name}/${at}/${piece}`;
      const now = performance.now();
      const sendEvent = (
        type: CacheEvent['type'],
        next: number,
        expected: 'applied' | 'gap' | 'stale',
      ): void => {
        t.is(directory.applyEvent(name, buildEvent(next, type, at, piece)), expected);
        if (expected === 'stale') return;
        model.seqs.set(name, next);
        model.assumed.delete(key);
        if (type === 'stored') model.confirmed.add(key);
        else model.confirmed.delete(key);
      };
      if (action === 'stored' || action === 'evicted') sendEvent(action, seq + 1, 'applied');
      if (action === 'gap') sendEvent('stored', seq + 3, 'gap');
      if (action === 'stale') sendEvent('stored', seq, 'stale');
      if (action === 'wait') clock.tick(ASSUMED_TTL_MS / 2 + 1);
      if (action === 'remove') {
        directory.removeEngine(name);
        model.clearEngine(name, false);
        model.seqs.delete(name);
      }
      if (action === 'replace') {
        directory.replaceEngine(name, seq + 5, [{ scope: at, chain: piece }]);
        model.clearEngine(name, true);
        model.assumed.delete(key);
        model.confirmed.add(key);
        model.seqs.set(name, seq + 5);
      }
      if (action === 'run') {
        const pieces = buildPieces(CHAINS.indexOf(piece) + 1);
        directory.recordRunPieces(name, at, pieces);
        for (const ref of pieces) {
          if (!model.hasPiece(name, at, ref.chain, now)) {
            model.assumed.set(`${name}/${at}/${ref.chain}`, now + ASSUMED_TTL_MS);
          }
        }
      }
      for (const count of [1, 3, 5]) {
        const actual = [...directory.countCachedPrefix(at, buildPieces(count))].sort();
        t.deepEqual(actual, [...model.countPrefix(at, count, performance.now())].sort());
      }
    }
  });
  try {
    fc.assert(property, { seed: 7, numRuns: 200 });
  } finally {
    clock.uninstall();
  }
});

// Guards against memory that grows without bound with the number of prompts.
test('the numbers of cached and stored pieces stay within their bounds', (t) => {
  const directory = createCacheDirectory({ maxCachedPieces: 100, maxStoredPieces: 50 });
  for (let seq = 1; seq <= 1_000; seq += 1) {
    const place = { scope: 's', chain: String(seq) };
    directory.applyEvent('e1', buildEvent(seq, 'stored', place.scope, place.chain));
    directory.recordStoredPiece(buildStored('st1', place.chain));
  }
  t.like(directory.getCounts(), { entries: 100, stored: 50, gaps: 0 });
  t.is(directory.countCachedPrefix('s', [{ chain: '1000', tokens: 1 }]).get('e1'), 1);
});

// Guards against placement by the cache of an engine without recent events, runs or resynchronisation.
test('an engine without recent events is dropped with its pieces', (t) => {
  const clock = installClock();
  const directory = createCacheDirectory({ engineIdleTimeoutMs: 5_000 });
  directory.applyEvent('e1', buildEvent(1, 'stored', 's', 'c0'));
  directory.applyEvent('e2', buildEvent(1, 'stored', 's', 'c0'));
  clock.tick(4_000);
  directory.applyEvent('e2', buildEvent(2, 'stored', 's', 'c1'));
  clock.tick(2_000);
  t.deepEqual([...directory.countCachedPrefix('s', buildPieces(2))], [['e2', 2]]);
  t.like(directory.getCounts(), { engines: 1, entries: 2 });
  clock.uninstall();
});

// Guards against placement by the assumed pieces of an engine that does not keep the pieces of its runs.
test('assumed pieces of an engine do not count when events rarely confirm them', (t) => {
  const clock = installClock();
  const directory = createCacheDirectory({ assumedPieceTtlMs: 300 });
  for (let run = 0; run < 30; run += 1) {
    directory.recordRunPieces('e1', `s${String(run)}`, buildPieces(1));
    clock.tick(10);
  }
  clock.tick(600);
  directory.recordRunPieces('e1', 's', buildPieces(1));
  t.deepEqual([...directory.countCachedPrefix('s', buildPieces(1))], []);
  directory.applyEvent('e1', buildEvent(1, 'stored', 's', 'c0'));
  t.deepEqual([...directory.countCachedPrefix('s', buildPieces(1))], [['e1', 1]]);
  clock.uninstall();
});

function buildStored(store: string, name: string): StoredPiece {
  const place = { scope: 's', chain: name, store, tier: 'memory' as const };
  return { ...place, generation: 1, length: 1, checksum: 'c', bytes: 10 };
}

// Guards against imports from a store that no longer has the piece.
test('stored pieces are removed with their store', (t) => {
  const directory = createCacheDirectory();
  directory.recordStoredPiece(buildStored('st1', 'c0'));
  directory.recordStoredPiece(buildStored('st2', 'c0'));
  directory.recordStoredPiece({ ...buildStored('st2', 'c0'), generation: 2 });
  t.deepEqual(
    directory.findStoredCopies('s', 'c0').map((piece) => [piece.store, piece.generation]),
    [
      ['st1', 1],
      ['st2', 2],
    ],
  );
  directory.removeStore('st1');
  directory.replaceStore('st2', [buildStored('st2', 'c1')]);
  t.deepEqual(directory.findStoredCopies('s', 'c0'), []);
  t.is(directory.findStoredCopies('s', 'c1').length, 1);
  t.deepEqual(
    directory.listStoredPieces('st2').map((piece) => piece.chain),
    ['c1'],
  );
  directory.removeStoredPiece('st2', 's', 'c1');
  t.is(directory.getCounts().stored, 0);
});
