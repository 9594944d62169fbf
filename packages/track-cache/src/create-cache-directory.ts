import { readMonotonicMs } from '@laburnumshift/clock';
import type { CacheDirectory } from '@laburnumshift/types';
import type { CacheDirectoryOptions } from './cache-directory-options.js';
import { countPrefix } from './count-prefix.js';
import type { EngineEntry } from './engine-entry.js';
import { EngineTable } from './engine-table.js';
import { EntryTable } from './entry-table.js';
import { StoredIndex } from './stored-index.js';

/** Weight of one observation in an engine's trust. */
const TRUST_STEP = 0.05;

/** Trust that an engine regains per expiry check, so that a bad phase does not last for ever. */
const TRUST_RECOVERY = 0.01;

/** Bound on the assumed pieces of one engine. */
const MAX_ASSUMPTIONS = 8_192;

/** Expiry is checked at most this often. */
const EXPIRY_CHECK_MS = 250;

/**
 * Creates the cache directory of a cell. Pieces of engines come from events (confirmed) and from finished runs (assumed until an
 * event confirms them, they expire, or the engine's assumed pieces turn out wrong too often).
 *
 * A lower sequence number than the last one is stale. After a boot the caller removes the engine, because numbers start again.
 */
export function createCacheDirectory(options: CacheDirectoryOptions = {}): CacheDirectory {
  const { maxEntries = 200_000, maxStored = 200_000 } = options;
  const { optimisticMs = 5_000, minTrust = 0.5, silenceMs = 900_000 } = options;
  const engines = new EngineTable();
  const entries = new EntryTable(maxEntries);
  const stored = new StoredIndex(maxStored);
  const counts = { events: 0, gaps: 0, stale: 0, confirmed: 0, unconfirmed: 0, expiredEngines: 0 };
  let trusted = new Int32Array(1);
  let scratch = new Int32Array(1);
  let checkedMs = Number.NEGATIVE_INFINITY;

  const observeAssumption = (engine: EngineEntry, confirmed: boolean): void => {
    engine.trust += ((confirmed ? 1 : 0) - engine.trust) * TRUST_STEP;
    counts[confirmed ? 'confirmed' : 'unconfirmed'] += 1;
  };
  const addEngine = (name: string, nowMs: number): EngineEntry => {
    // A new engine is trusted from the next count on.
    if (engines.findEngine(name) === undefined) checkedMs = Number.NEGATIVE_INFINITY;
    const engine = engines.addEngine(name, nowMs);
    engine.lastSeenMs = nowMs;
    entries.ensureWords(engines.positions);
    if (trusted.length < entries.words) {
      trusted = new Int32Array(entries.words);
      scratch = new Int32Array(entries.words);
    }
    return engine;
  };
  const confirmPiece = (engine: EngineEntry, scope: string, chain: string): void => {
    const id = entries.addEntry(scope, chain);
    if (entries.hasBit(entries.assumed, id, engine.index)) {
      entries.clearBit(entries.assumed, id, engine.index);
      observeAssumption(engine, true);
    }
    entries.setBit(entries.confirmed, id, engine.index);
  };
  const dropPiece = (engine: EngineEntry, scope: string, chain: string): void => {
    const id = entries.findEntry(scope, chain);
    if (id === undefined) return;
    entries.clearBit(entries.confirmed, id, engine.index);
    entries.clearBit(entries.assumed, id, engine.index);
    entries.dropUnused(id);
  };
  const expireAssumptions = (engine: EngineEntry, nowMs: number): void => {
    const firstKept = engine.assumptions.findIndex((assumption) => assumption.untilMs > nowMs);
    const expired = engine.assumptions.splice(0, firstKept < 0 ? engine.assumptions.length : firstKept);
    for (const { scope, chain } of expired) {
      const id = entries.findEntry(scope, chain);
      if (id === undefined || !entries.hasBit(entries.assumed, id, engine.index)) continue;
      entries.clearBit(entries.assumed, id, engine.index);
      entries.dropUnused(id);
      observeAssumption(engine, false);
    }
    engine.trust = Math.min(1, engine.trust + TRUST_RECOVERY);
  };
  const removeEngine = (engine: EngineEntry): void => {
    entries.clearEngine(engine.index, false);
    engines.removeEngine(engine);
    checkedMs = Number.NEGATIVE_INFINITY;
  };
  const expireAll = (nowMs: number): void => {
    if (nowMs - checkedMs < EXPIRY_CHECK_MS) return;
    trusted.fill(0);
    for (const engine of engines.listEngines()) {
      if (nowMs - engine.lastSeenMs > silenceMs) {
        removeEngine(engine);
        counts.expiredEngines += 1;
        continue;
      }
      expireAssumptions(engine, nowMs);
      const word = engine.index >>> 5;
      if (engine.trust >= minTrust) trusted[word] = (trusted[word] ?? 0) | (1 << (engine.index & 31));
    }
    checkedMs = nowMs;
  };

  return {
    applyEvent: (name, event) => {
      const engine = addEngine(name, readMonotonicMs());
      if (event.seq <= engine.lastSeq) {
        counts.stale += 1;
        return 'stale';
      }
      const follows = event.seq === engine.lastSeq + 1;
      engine.lastSeq = event.seq;
      counts.events += 1;
      if (event.type === 'stored') confirmPiece(engine, event.scope, event.chain);
      else dropPiece(engine, event.scope, event.chain);
      if (follows) return 'applied';
      counts.gaps += 1;
      return 'gap';
    },
    replaceEngine: (name, seq, pieces) => {
      const engine = addEngine(name, readMonotonicMs());
      // Runs that finished after the engine made the list are not in it; their assumed pieces stay until they expire.
      entries.clearEngine(engine.index, true);
      for (const { scope, chain } of pieces) confirmPiece(engine, scope, chain);
      engine.lastSeq = seq;
    },
    removeEngine: (name) => {
      const engine = engines.findEngine(name);
      if (engine !== undefined) removeEngine(engine);
    },
    recordRun: (name, scope, pieces) => {
      const nowMs = readMonotonicMs();
      const engine = addEngine(name, nowMs);
      expireAll(nowMs);
      for (const { chain } of pieces) {
        const id = entries.addEntry(scope, chain);
        entries.markUsed(id);
        const known =
          entries.hasBit(entries.confirmed, id, engine.index) ||
          entries.hasBit(entries.assumed, id, engine.index);
        if (known) continue;
        entries.setBit(entries.assumed, id, engine.index);
        engine.assumptions.push({ scope, chain, untilMs: nowMs + optimisticMs });
      }
      const surplus = engine.assumptions.splice(0, engine.assumptions.length - MAX_ASSUMPTIONS);
      for (const { scope: oldScope, chain } of surplus) {
        const id = entries.findEntry(oldScope, chain);
        if (id === undefined) continue;
        entries.clearBit(entries.assumed, id, engine.index);
        entries.dropUnused(id);
      }
    },
    countPrefix: (scope, pieces) => {
      expireAll(readMonotonicMs());
      return countPrefix(entries, engines, scope, pieces, trusted, scratch);
    },
    replaceStore: (store, pieces) => {
      stored.removeStore(store);
      for (const piece of pieces) stored.recordStored(piece);
    },
    recordStored: (piece) => {
      stored.recordStored(piece);
    },
    removeStored: (store, scope, chain) => {
      stored.removeStored(store, scope, chain);
    },
    removeStore: (store) => {
      stored.removeStore(store);
    },
    findStored: (scope, chain) => stored.findStored(scope, chain),
    listStored: (store) => stored.listStored(store),
    getCounts: () => ({
      ...counts,
      engines: engines.count,
      entries: entries.count,
      stored: stored.count,
    }),
  };
}
