import type { PieceRef } from '@laburnumshift/types';
import { createRandom } from '@laburnumshift/measure-daemons';
import type { Deployment } from './deployment.js';
import type { TraceRequest } from './trace-request.js';

const PIECE_TOKENS = 2000;
const MS_PER_S = 1000;
const GAP_SIGMA = 0.6;
/** Pieces that a conversation grows by between two turns. */
const MAX_GROWTH = 2;
/** Three large accounts bring three quarters of the traffic, seven small ones the rest. */
const LARGE = 3;
const LARGE_PART = 0.75;
const SMALL = 7;

/**
 * Generates the requests of a deployment: conversations begin at random, return after long gaps and grow with each turn.
 *
 * @param load multiple of the steady load
 * @returns requests in order of time
 */
export function generateTrace(
  deployment: Deployment,
  seed: number,
  load: number,
  durationMs: number,
): TraceRequest[] {
  const random = createRandom(seed);
  const requests: Omit<TraceRequest, 'id'>[] = [];
  for (const kind of deployment.classes) {
    const meanMs = MS_PER_S / (kind.startsPerSecond * load);
    let conversation = 0;
    for (
      let start = random.pickExponential(meanMs);
      start < durationMs;
      start += random.pickExponential(meanMs)
    ) {
      conversation += 1;
      const isLarge = random.pickUniform() < LARGE_PART;
      const account = isLarge
        ? `large-${String(random.pickInteger(1, LARGE))}`
        : `small-${String(random.pickInteger(1, SMALL))}`;
      const name = `${account}/${kind.service}/${String(conversation)}`;
      let full = random.pickInteger(kind.pieces[0], kind.pieces[1]);
      for (let atMs = start, turn = 0; atMs < durationMs; turn += 1) {
        const pieces: PieceRef[] = Array.from({ length: full }, (_, index) => ({
          chain:
            index < kind.sharedPieces
              ? `${account}/${kind.service}+${String(index)}`
              : `${name}+${String(index)}`,
          tokens: PIECE_TOKENS,
        }));
        const rest = random.pickInteger(100, kind.pieces[1] === 0 ? 600 : PIECE_TOKENS - 200);
        pieces.push({ chain: `${name}+${String(full)}.${String(turn)}`, tokens: rest });
        const tokens = full * PIECE_TOKENS + rest;
        requests.push({ atMs, account, conversation: name, kind, pieces, tokens });
        if (random.pickUniform() >= kind.returnChance) break;
        atMs += random.pickLogNormal(kind.gapMs, GAP_SIGMA);
        full += random.pickInteger(1, MAX_GROWTH);
      }
    }
  }
  requests.sort((a, b) => a.atMs - b.atMs);
  return requests.map((request, index) => ({ ...request, id: `r${String(index)}` }));
}
