import type { PieceRef } from '@laburnumshift/types';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Arrival } from './arrival.js';
import type { SimulationOptions } from './simulation-options.js';
import type { TraceService } from './trace-service.js';

/** Picks a number from a normal distribution (Box-Muller). */
function pickNormal(pickShare: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - pickShare()));
  return radius * Math.cos(2 * Math.PI * pickShare());
}

function pickAccount(options: SimulationOptions, pickShare: () => number): string {
  const entries = Object.entries(options.accounts);
  let rest = pickShare() * entries.reduce((sum, [, weight]) => sum + weight, 0);
  for (const [account, weight] of entries) {
    rest -= weight;
    if (rest < 0) return account;
  }
  return entries[0]?.[0] ?? '';
}

/** Generates one prompt with all its returns. Each account's prompts of a service share their first piece. */
function generatePrompt(
  options: SimulationOptions,
  service: TraceService,
  name: string,
  startMs: number,
  pickShare: () => number,
): Arrival[] {
  const [least, most] = service.pieces;
  const account = pickAccount(options, pickShare);
  const pieces: PieceRef[] = [{ chain: `${account}-${service.name}`, tokens: options.pieceTokens }];
  const addPieces = (count: number): void => {
    for (let added = 0; added < count; added += 1) {
      pieces.push({ chain: `${name}-${String(pieces.length)}`, tokens: options.pieceTokens });
    }
  };
  addPieces(least + Math.floor(pickShare() * (most - least + 1)));
  const arrivals: Arrival[] = [];
  for (let atMs = startMs, visit = 0; atMs < options.durationMs; visit += 1) {
    const requestId = `${name}.${String(visit)}`;
    arrivals.push({ atMs, requestId, account, service: service.name, pieces: [...pieces] });
    if (pickShare() >= service.returnChance) break;
    atMs += service.gapMedianMs * Math.exp(service.gapSpread * pickNormal(pickShare));
    addPieces(Math.floor(pickShare() * (service.growth + 1)));
  }
  return arrivals;
}

/** Generates the requests of a trace, sorted by time; the same seed gives the same trace. */
export function generateTrace(options: SimulationOptions): Arrival[] {
  const generator = xoroshiro128plus(options.seed);
  const pickShare = (): number => uniformFloat64(generator);
  const arrivals: Arrival[] = [];
  for (const service of options.services) {
    let number = 0;
    let atMs = 0;
    while (atMs < options.durationMs) {
      atMs += -Math.log(1 - pickShare()) * service.newEveryMs;
      number += 1;
      arrivals.push(
        ...generatePrompt(options, service, `${service.name}-${String(number)}`, atMs, pickShare),
      );
    }
  }
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}
