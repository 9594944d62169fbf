import { readMonotonicMs } from '@laburnumshift/clock';
import type { CacheDirectory } from '@laburnumshift/types';
import type { CacheDirectoryOptions } from './cache-directory-options.js';
import { countPrefix } from './count-prefix.js';
import type { EngineEntry } from './engine-entry.js';
import { EngineTable } from './engine-table.js';
import { CachedPieceTable } from './cached-piece-table.js';
import { StoredPieceIndex } from './stored-piece-index.js';

/** Weight of one observation in the moving average of an engine's confirmation rate. */
const CONFIRMATION_GAIN = 0.05;

/** Increase of the confirmation rate at each expiry check, so that a period of wrong assumptions does not exclude an engine forever. */
const CONFIRMATION_RECOVERY = 0.01;

/** Maximum number of assumed pieces of one engine. */
const MAX_ASSUMED_PIECES = 8_192;

/** Minimum time between two expiry checks. */
const EXPIRY_CHECK_MS = 250;

/**
 * Creates the cache directory of a cell. Pieces on engines are known from events (confirmed pieces) and from finished runs (assumed
 * pieces). An assumed piece expires unless an event confirms it, and does not count while the confirmation rate of its engine is
 * below the minimum.
 *
 * An event is stale when its sequence number is not above the last one. After a restart of an engine the caller must call
 * `removeEngine`, because its sequence numbers start again.
 */
export function createCacheDirectory(options: CacheDirectoryOptions = {}): CacheDirectory {
  const { maxCachedPieces: maxEntries = 200_000, maxStoredPieces: maxStored = 200_000 } = options;
  const {
    assumedPieceTtlMs: optimisticMs = 5_000,
    minConfirmationRate: minTrust = 0.5,
    engineIdleTimeoutMs: silenceMs = 900_000,
  } = options;
  const engines = new EngineTable();
  const pieceTable = new CachedPieceTable(maxEntries);
  const stored = new StoredPieceIndex(maxStored);
  const counts = { events: 0, gaps: 0, stale: 0, confirmed: 0, unconfirmed: 0, expiredEngines: 0 };
  let trustedEngines = new Int32Array(1);
  let scratch = new Int32Array(1);
  let expiryCheckedAtMs = Number.NEGATIVE_INFINITY;

  const recordAssumptionOutcome = (engine: EngineEntry, confirmed: boolean): void => {
    engine.confirmationRate += ((confirmed ? 1 : 0) - engine.confirmationRate) * CONFIRMATION_GAIN;
    counts[confirmed ? 'confirmed' : 'unconfirmed'] += 1;
  };
  const addEngine = (name: string, nowMs: number): EngineEntry => {
    // Makes the next count run the expiry check, which adds the new engine to the trusted ones.
    if (engines.findEngine(name) === undefined) expiryCheckedAtMs = Number.NEGATIVE_INFINITY;
    const engine = engines.addEngine(name, nowMs);
    engine.lastSeenMs = nowMs;
    pieceTable.ensureEngineCapacity(engines.indexCount);
    if (trustedEngines.length < pieceTable.wordsPerBitSet) {
      trustedEngines = new Int32Array(pieceTable.wordsPerBitSet);
      scratch = new Int32Array(pieceTable.wordsPerBitSet);
    }
    return engine;
  };
  const confirmPiece = (engine: EngineEntry, scope: string, chain: string): void => {
    const id = pieceTable.addPiece(scope, chain);
    if (pieceTable.hasBit(pieceTable.assumed, id, engine.index)) {
      pieceTable.clearBit(pieceTable.assumed, id, engine.index);
      recordAssumptionOutcome(engine, true);
    }
    pieceTable.setBit(pieceTable.confirmed, id, engine.index);
  };
  const removePiece = (engine: EngineEntry, scope: string, chain: string): void => {
    const id = pieceTable.findPiece(scope, chain);
    if (id === undefined) return;
    pieceTable.clearBit(pieceTable.confirmed, id, engine.index);
    pieceTable.clearBit(pieceTable.assumed, id, engine.index);
    pieceTable.removeIfUncached(id);
  };
  const expireAssumedPieces = (engine: EngineEntry, nowMs: number): void => {
    const firstKept = engine.assumedPieces.findIndex((assumption) => assumption.untilMs > nowMs);
    const expired = engine.assumedPieces.splice(0, firstKept < 0 ? engine.assumedPieces.length : firstKept);
    for (const { scope, chain } of expired) {
      const id = pieceTable.findPiece(scope, chain);
      if (id === undefined || !pieceTable.hasBit(pieceTable.assumed, id, engine.index)) continue;
      pieceTable.clearBit(pieceTable.assumed, id, engine.index);
      pieceTable.removeIfUncached(id);
      recordAssumptionOutcome(engine, false);
    }
    engine.confirmationRate = Math.min(1, engine.confirmationRate + CONFIRMATION_RECOVERY);
  };
  const removeEngine = (engine: EngineEntry): void => {
    pieceTable.clearEngine(engine.index, false);
    engines.removeEngine(engine);
    expiryCheckedAtMs = Number.NEGATIVE_INFINITY;
  };
  const expireAll = (nowMs: number): void => {
    if (nowMs - expiryCheckedAtMs < EXPIRY_CHECK_MS) return;
    trustedEngines.fill(0);
    for (const engine of engines.listEngines()) {
      if (nowMs - engine.lastSeenMs > silenceMs) {
        removeEngine(engine);
        counts.expiredEngines += 1;
        continue;
      }
      expireAssumedPieces(engine, nowMs);
      const word = engine.index >>> 5;
      if (engine.confirmationRate >= minTrust)
        trustedEngines[word] = (trustedEngines[word] ?? 0) | (1 << (engine.index & 31));
    }
    expiryCheckedAtMs = nowMs;
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
      else removePiece(engine, event.scope, event.chain);
      if (follows) return 'applied';
      counts.gaps += 1;
      return 'gap';
    },
    replaceEngine: (name, seq, pieces) => {
      const engine = addEngine(name, readMonotonicMs());
      // The list does not contain the pieces of runs that finished after it was made, so assumed pieces stay until they expire.
      pieceTable.clearEngine(engine.index, true);
      for (const { scope, chain } of pieces) confirmPiece(engine, scope, chain);
      engine.lastSeq = seq;
    },
    removeEngine: (name) => {
      const engine = engines.findEngine(name);
      if (engine !== undefined) removeEngine(engine);
    },
    recordRunPieces: (name, scope, pieces) => {
      const nowMs = readMonotonicMs();
      const engine = addEngine(name, nowMs);
      expireAll(nowMs);
      for (const { chain } of pieces) {
        const id = pieceTable.addPiece(scope, chain);
        pieceTable.markUsed(id);
        const known =
          pieceTable.hasBit(pieceTable.confirmed, id, engine.index) ||
          pieceTable.hasBit(pieceTable.assumed, id, engine.index);
        if (known) continue;
        pieceTable.setBit(pieceTable.assumed, id, engine.index);
        engine.assumedPieces.push({ scope, chain, untilMs: nowMs + optimisticMs });
      }
      const excess = engine.assumedPieces.splice(0, engine.assumedPieces.length - MAX_ASSUMED_PIECES);
      for (const { scope: oldScope, chain } of excess) {
        const id = pieceTable.findPiece(oldScope, chain);
        if (id === undefined) continue;
        pieceTable.clearBit(pieceTable.assumed, id, engine.index);
        pieceTable.removeIfUncached(id);
      }
    },
    countCachedPrefix: (scope, pieces) => {
      expireAll(readMonotonicMs());
      return countPrefix(pieceTable, engines, scope, pieces, trustedEngines, scratch);
    },
    replaceStore: (store, pieces) => {
      stored.removeStore(store);
      for (const piece of pieces) stored.recordStored(piece);
    },
    recordStoredPiece: (piece) => {
      stored.recordStored(piece);
    },
    removeStoredPiece: (store, scope, chain) => {
      stored.removeStored(store, scope, chain);
    },
    removeStore: (store) => {
      stored.removeStore(store);
    },
    findStoredCopies: (scope, chain) => stored.findStored(scope, chain),
    listStoredPieces: (store) => stored.listStored(store),
    getCounts: () => ({
      ...counts,
      engines: engines.count,
      entries: pieceTable.count,
      stored: stored.count,
    }),
  };
}
