import { CANDIDATES } from './candidates.js';
import { compareCandidates } from './compare-candidates.js';
import { DEPLOYMENTS } from './deployments.js';
import { generateWorkload } from './generate-workload.js';
import { runCandidate } from './run-candidate.js';
import type { RunFigures } from './run-figures.js';
import type { DaemonFigures } from './daemon-figures.js';

const DURATION_MS = 24_000;

/** Runs a deployment with all candidates, one after the other, over the same workload. */
export async function runLoadScenario(
  name: keyof typeof DEPLOYMENTS,
  load: number,
  seed: number,
): Promise<DaemonFigures> {
  const deployment = DEPLOYMENTS[name];
  const workload = generateWorkload(deployment, seed, load, DURATION_MS);
  const candidates: Record<string, RunFigures> = {};
  let slowest: unknown;
  for (const candidate of Object.keys(CANDIDATES)) {
    const run = await runCandidate(deployment, candidate, workload, () => Promise.resolve());
    candidates[candidate] = run.figures;
    if (candidate === 'own') slowest = run.slowest;
  }
  return { load, candidates, ...compareCandidates(deployment, candidates, load === 1), slowest };
}
