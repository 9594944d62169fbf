import { readMonotonicMs, readWallMs, sleep } from '@laburnumshift/clock';
import { buildPromises } from './build-promises.js';
import { buildTarget } from './build-target.js';
import type { Cluster } from './cluster.js';
import { DEPLOYMENTS } from './deployments.js';
import { generateWorkload } from './generate-workload.js';
import { runCandidate } from './run-candidate.js';
import type { DaemonFigures } from './daemon-figures.js';

const DURATION_MS = 24_000;
const BEGIN_MS = 6_000;
const WATCH_MS = 15_000;
const LIMIT_MS = 3_000;

/** Marks an engine and a service instance as leaving in the host list. */
async function markLeaving({ site, deployment }: Cluster) {
  const [engine = ''] = deployment.engines;
  const [service = ''] = deployment.services;
  await sleep(BEGIN_MS);
  const markedAt = { wallMs: readWallMs(), monotonicMs: readMonotonicMs() };
  await site.setState({ kind: 'set-leaving', name: engine });
  await site.setState({ kind: 'set-leaving', name: service });
  await sleep(WATCH_MS);
  const { lastRunAtMs } = await site.getReport();
  const othersMs = deployment.engines
    .filter((name) => name !== engine)
    .map((name) => (lastRunAtMs[name] ?? 0) - markedAt.wallMs);
  const engineMs = (lastRunAtMs[engine] ?? 0) - markedAt.wallMs;
  return { service, markedAtMs: markedAt.monotonicMs, engineMs, othersMs };
}

/** Marks an engine and an instance of the plain service as leaving under load. */
export async function runLeavingServer(seed: number): Promise<DaemonFigures> {
  const deployment = DEPLOYMENTS['night-walk'];
  const workload = generateWorkload(deployment, seed, 1, DURATION_MS);
  const { figures, records, disturbed } = await runCandidate(deployment, 'own', workload, markLeaving);
  const { service, markedAtMs, engineMs, othersMs } = disturbed;
  const sentMs = records.filter(({ server }) => server === service).map((r) => r.sentAtMs - markedAtMs);
  const serviceMs = Math.max(0, ...sentMs);
  return {
    lastNewCallMs: { engine: engineMs, service: serviceMs },
    /** Other engines still get calls at the end of the watch, which shows that the load went on. */
    lastCallOfOtherEnginesMs: othersMs,
    figures,
    targets: [
      buildTarget('last new call of a leaving engine after the mark, ms', LIMIT_MS, Math.max(0, engineMs)),
      buildTarget('last new call of a leaving service instance after the mark, ms', LIMIT_MS, serviceMs),
      ...buildPromises(figures),
    ],
  };
}
