import type { CandidateRun } from './candidate-run.js';
import type { Cluster } from './cluster.js';
import { computeFigures } from './compute-figures.js';
import { createBalancer } from './create-balancer.js';
import type { Deployment } from './deployment.js';
import { fetchTraces } from './fetch-traces.js';
import type { LoadRequest } from './load-request.js';
import { runLoad } from './run-load.js';
import { startCluster } from './start-cluster.js';

const EXPLAINED = 3;

/** Starts a cluster with the decision code of a candidate, runs a workload with a disturbance beside it, and stops all. */
export async function runCandidate<T>(
  deployment: Deployment,
  candidate: string,
  workload: readonly LoadRequest[],
  disturb: (cluster: Cluster) => Promise<T>,
): Promise<CandidateRun<T>> {
  const cluster = await startCluster(deployment, candidate);
  const balancer = createBalancer(() => cluster.daemons);
  try {
    const [records, disturbed] = await Promise.all([runLoad(workload, balancer), disturb(cluster)]);
    const report = await cluster.site.getReport();
    const figures = computeFigures(deployment, records, report);
    const [daemon] = cluster.daemons;
    const slow = records
      .filter(({ request: { kind } }) => kind.kind === 'completion' && kind.priority !== 'bulk')
      .sort((a, b) => (b.firstTokenMs ?? Infinity) - (a.firstTokenMs ?? Infinity))
      .slice(0, EXPLAINED);
    const slowest = await Promise.all(
      slow.map(async ({ request, firstTokenMs }) => ({
        firstTokenMs,
        traces: daemon === undefined ? [] : await fetchTraces(daemon, request.id),
      })),
    );
    return { figures, records, slowest, disturbed };
  } finally {
    balancer.close();
    await cluster.close();
  }
}
