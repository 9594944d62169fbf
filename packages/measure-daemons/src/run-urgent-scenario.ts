import { buildTarget } from './build-target.js';
import { DEPLOYMENTS } from './deployments.js';
import { generateWorkload } from './generate-workload.js';
import { runCandidate } from './run-candidate.js';
import type { RunFigures } from './run-figures.js';
import type { DaemonFigures } from './daemon-figures.js';

const DURATION_MS = 24_000;
const LIMIT = 1.5;
const LOADS = { half: 0.5, twice: 2 } as const;

/** Compares urgent short calls at half and at twice the steady load. */
export async function runUrgentScenario(
  name: keyof typeof DEPLOYMENTS,
  seed: number,
): Promise<DaemonFigures> {
  const deployment = DEPLOYMENTS[name];
  const loads: Record<string, RunFigures> = {};
  let slowest: unknown;
  for (const [load, factor] of Object.entries(LOADS)) {
    const workload = generateWorkload(deployment, seed, factor, DURATION_MS);
    const run = await runCandidate(deployment, 'own', workload, () => Promise.resolve());
    loads[load] = run.figures;
    slowest = run.slowest;
  }
  const p99 = (loads.twice?.urgent.p99 ?? Infinity) / (loads.half?.urgent.p99 ?? 1);
  return { loads, targets: [buildTarget('urgent p99 at twice over half the load', LIMIT, p99)], slowest };
}
