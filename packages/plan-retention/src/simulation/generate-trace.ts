import type { PieceRef } from '@laburnumshift/types';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { TraceRequest } from './trace-request.js';
import type { SimulationOptions } from './simulation-options.js';
import type { TraceService } from './trace-service.js';

/** Draws a number from the standard normal distribution (Box-Muller transform). */
function pickNormal(pickUniform: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - pickUniform()));
  return radius * Math.cos(2 * Math.PI * pickUniform());
}

/** Draws an account by the relative weights of the accounts. */
function pickAccount(options: SimulationOptions, pickUniform: () => number): string {
  const entries = Object.entries(options.accounts);
  let remainingWeight = pickUniform() * entries.reduce((sum, [, weight]) => sum + weight, 0);
  for (const [account, weight] of entries) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return account;
  }
  return entries[0]?.[0] ?? '';
}

/**
 * Generates the requests of one prompt and its returns. All prompts of an account and service share their first piece.
 */
function generatePrompt(
  options: SimulationOptions,
  service: TraceService,
  name: string,
  startMs: number,
  pickUniform: () => number,
): TraceRequest[] {
  const [minPieces, maxPieces] = service.pieces;
  const account = pickAccount(options, pickUniform);
  const pieces: PieceRef[] = [{ chain: `${account}-${service.name}`, tokens: options.pieceTokens }];
  const addPieces = (count: number): void => {
    for (let added = 0; added < count; added += 1) {
      pieces.push({ chain: `${name}-${String(pieces.length)}`, tokens: options.pieceTokens });
    }
  };
  addPieces(minPieces + Math.floor(pickUniform() * (maxPieces - minPieces + 1)));
  const requests: TraceRequest[] = [];
  for (let atMs = startMs, visit = 0; atMs < options.durationMs; visit += 1) {
    const requestId = `${name}.${String(visit)}`;
    requests.push({ atMs, requestId, account, service: service.name, pieces: [...pieces] });
    if (pickUniform() >= service.returnProbability) break;
    atMs += service.medianGapMs * Math.exp(service.gapLogStdDev * pickNormal(pickUniform));
    addPieces(Math.floor(pickUniform() * (service.maxGrowthPieces + 1)));
  }
  return requests;
}

/** Generates the requests of a trace, sorted by time. The same seed gives the same trace. */
export function generateTrace(options: SimulationOptions): TraceRequest[] {
  const generator = xoroshiro128plus(options.seed);
  const pickUniform = (): number => uniformFloat64(generator);
  const requests: TraceRequest[] = [];
  for (const service of options.services) {
    let number = 0;
    let atMs = 0;
    while (atMs < options.durationMs) {
      atMs += -Math.log(1 - pickUniform()) * service.meanArrivalIntervalMs;
      number += 1;
      requests.push(
        ...generatePrompt(options, service, `${service.name}-${String(number)}`, atMs, pickUniform),
      );
    }
  }
  return requests.sort((a, b) => a.atMs - b.atMs);
}
