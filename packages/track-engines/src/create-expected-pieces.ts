import { readMonotonicMs } from '@laburnumshift/clock';
import type { ExpectedPieces } from './expected-pieces.js';

/**
 * Time for which a piece is expected, milliseconds. It covers the queue, the prefill and the interval between two reads of the engine's
 * cache events; from then on these events state what is cached.
 */
const EXPECTED_TTL_MS = 2500;
/** Most pieces expected at all engines together; beyond that the oldest are dropped. */
const MAX_EXPECTED = 20_000;

interface ExpectedPiece {
  readonly tokens: number;
  readonly untilMs: number;
}

/** Creates an empty table. */
export function createExpectedPieces(): ExpectedPieces {
  /** Ordered by `untilMs`: an entry that is set again moves to the end. */
  const expected = new Map<string, ExpectedPiece>();
  const buildKey = (server: string, scope: string, piece: string): string => `${server} ${scope} ${piece}`;
  return {
    addPieces: (server, scope, pieces) => {
      const now = readMonotonicMs();
      for (const [key, { untilMs }] of expected) {
        if (untilMs > now && expected.size < MAX_EXPECTED) break;
        expected.delete(key);
      }
      for (const { id, tokens } of pieces) {
        const key = buildKey(server, scope, id);
        expected.delete(key);
        expected.set(key, { tokens, untilMs: now + EXPECTED_TTL_MS });
      }
    },
    getTokens: (server, scope, piece) => {
      const entry = expected.get(buildKey(server, scope, piece));
      return entry !== undefined && entry.untilMs > readMonotonicMs() ? entry.tokens : 0;
    },
  };
}
