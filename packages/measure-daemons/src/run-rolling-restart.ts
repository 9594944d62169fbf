import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { buildPromises } from './build-promises.js';
import { buildTarget } from './build-target.js';
import type { Cluster } from './cluster.js';
import { DEPLOYMENTS } from './deployments.js';
import { generateWorkload } from './generate-workload.js';
import { readGauge } from './read-gauge.js';
import { runCandidate } from './run-candidate.js';
import { waitUntil } from './wait-until.js';
import type { DaemonFigures } from './daemon-figures.js';

const DURATION_MS = 36_000;
const BEGIN_MS = 3_000;
const READY_LIMIT_MS = 15_000;
/** A restarted daemon takes requests for this long before the next one is stopped. */
const PAUSE_MS = 500;

/** Restarts one daemon after the other; returns the time of each restart. */
async function restartDaemons(cluster: Cluster): Promise<readonly number[]> {
  const times: number[] = [];
  await sleep(BEGIN_MS);
  for (const daemon of [...cluster.daemons]) {
    const startedAtMs = readMonotonicMs();
    await daemon.stop('SIGTERM');
    await cluster.removeDaemon(daemon);
    const next = await cluster.addDaemon(daemon.host, daemon.failureDomain);
    const readyMs = await waitUntil(
      async () => ((await readGauge(next, 'config_generation')) ?? 0) > 0,
      READY_LIMIT_MS,
    );
    if (readyMs === undefined) throw new Error(`${next.host} did not become ready`);
    times.push(Math.round(readMonotonicMs() - startedAtMs));
    await sleep(PAUSE_MS);
  }
  return times;
}

/** Rolling restart of all daemons under load. */
export async function runRollingRestart(seed: number): Promise<DaemonFigures> {
  const deployment = DEPLOYMENTS['night-walk'];
  const workload = generateWorkload(deployment, seed, 1, DURATION_MS);
  const { figures, slowest, disturbed } = await runCandidate(deployment, 'own', workload, restartDaemons);
  return {
    restartMs: disturbed,
    figures,
    targets: [buildTarget('cut requests', 0, figures.cutAnswers), ...buildPromises(figures)],
    slowest,
  };
}
