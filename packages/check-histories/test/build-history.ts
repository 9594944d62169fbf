import { computeAnswer, type EngineRunRecord } from '@laburnumshift/fakes/engine';
import { MODEL } from '../src/harness/model.js';
import type { BookingOperation } from '../src/history/booking-operation.js';
import type { CompletionOperation } from '../src/history/completion-operation.js';
import type { History } from '../src/history/history.js';

/** A completion of account `north` at `entry-1/1` with its whole answer. */
export const COMPLETION: CompletionOperation = {
  account: 'north',
  node: 'entry-1/1',
  key: 'request-1',
  startMs: 100,
  endMs: 200,
  result: { kind: 'answered' },
  service: 'ask',
  prompt: 'prompt',
  maxTokens: 3,
  offset: 0,
  tokens: computeAnswer(MODEL, 'prompt', 3),
};
/** The engine's record of `COMPLETION`. */
export const RUN: EngineRunRecord = {
  requestId: 'request-1~a.1',
  scope: 'scope-north-v1',
  weightVersion: 'v1',
  arrivedAtMs: 140,
  startedAtMs: 150,
  foreignBy: [],
};
/** A booking that ran once. */
export const BOOKING: BookingOperation = {
  account: 'north',
  node: 'entry-1/1',
  key: 'booking-1',
  startMs: 100,
  endMs: 200,
  result: { kind: 'answered' },
  service: 'booking',
  body: 'seats 2',
  answer: JSON.stringify({ body: 'seats 2' }),
};

/** Builds a history that breaks no invariant, with some parts replaced. */
export function buildHistory(parts: Partial<History> = {}): History {
  return {
    completions: [COMPLETION],
    bookings: [BOOKING],
    publications: [],
    lives: [{ node: 'entry-1/1', startMs: 0, endMs: Infinity, killed: false, pauses: [] }],
    generations: [{ node: 'entry-1/1', atMs: 50, generation: 1 }],
    leavings: [],
    outages: [],
    engineRuns: { 'engine-1': [RUN] },
    engineWork: { cachedTokens: 0, importedTokens: 0, importMisses: 0, resumedTokens: 0 },
    serviceCalls: { 'desk-1': [{ key: 'booking-1', arrivedAtMs: 140, ranAtMs: 150 }] },
    ...parts,
  };
}
