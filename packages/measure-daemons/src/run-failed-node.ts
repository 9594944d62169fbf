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

const DURATION_MS = 26_000;
const BEGIN_MS = 5_000;
const KILLS = 3;
const PAUSE_MS = 3_000;
const LIMIT_MS = 3_000;
const WAIT_MS = 15_000;

/** Kills some daemons, one after the other; returns for each the time until no other one counts it among the live nodes. */
async function killDaemons({ daemons }: Cluster): Promise<readonly (number | undefined)[]> {
  const times: (number | undefined)[] = [];
  await sleep(BEGIN_MS);
  for (let kill = 0; kill < KILLS; kill += 1) {
    const victim = daemons.pop();
    const killedAtMs = readMonotonicMs();
    await victim?.stop('SIGKILL');
    const goneMs = await waitUntil(async () => {
      const counts = await Promise.all(daemons.map((daemon) => readGauge(daemon, 'live_members')));
      return counts.every((count) => count === daemons.length);
    }, WAIT_MS);
    times.push(goneMs === undefined ? undefined : Math.round(readMonotonicMs() - killedAtMs));
    await sleep(PAUSE_MS);
  }
  return times;
}

/** Kills three of six daemons under load. Homes are ranked over the live nodes, so a node that is not live has no request placed through it. */
export async function runFailedNode(seed: number): Promise<DaemonFigures> {
  const deployment = DEPLOYMENTS['night-walk'];
  const workload = generateWorkload(deployment, seed, 1, DURATION_MS);
  const { figures, slowest, disturbed } = await runCandidate(deployment, 'own', workload, killDaemons);
  const worst = disturbed.includes(undefined) ? undefined : Math.max(...disturbed.map((ms) => ms ?? 0));
  return {
    outOfRoutesMs: disturbed,
    figures,
    targets: [
      buildTarget('time until a failed node is out of every route, worst, ms', LIMIT_MS, worst),
      ...buildPromises(figures),
    ],
    slowest,
  };
}
