import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { buildPromises } from './build-promises.js';
import { buildTarget } from './build-target.js';
import { computeSummary } from './compute-summary.js';
import type { DaemonFault } from './daemon-fault.js';
import { DEPLOYMENTS } from './deployments.js';
import { generateWorkload } from './generate-workload.js';
import type { RequestRecord } from './request-record.js';
import { runCandidate } from './run-candidate.js';
import type { RunFigures } from './run-figures.js';
import type { Summary } from './summary.js';
import type { DaemonFigures } from './daemon-figures.js';

const DURATION_MS = 26_000;
const FAULT_AT_MS = 10_000;
const RECOVERY_MS = 5_000;
const RECOVERY_LIMIT = 1.2;

/** Interactive times to first token by phase of the run. */
interface PhaseFigures {
  readonly during: Summary;
  readonly after: Summary;
}

function splitPhases(records: readonly RequestRecord[], faultAtMs: number): PhaseFigures {
  const interactive = records.filter(
    ({ request: { kind } }) => kind.kind === 'completion' && kind.priority !== 'bulk',
  );
  const select = (from: number, to: number): Summary =>
    computeSummary(interactive.filter(({ sentAtMs }) => sentAtMs >= from && sentAtMs < to));
  const backAtMs = faultAtMs + RECOVERY_MS;
  return { during: select(faultAtMs, backAtMs), after: select(backAtMs, Infinity) };
}

/** Runs the repair-counter deployment with a fault in the middle. */
export async function runFaultScenario(fault: DaemonFault, seed: number): Promise<DaemonFigures> {
  const deployment = DEPLOYMENTS['repair-counter'];
  const workload = generateWorkload(deployment, seed, 1, DURATION_MS);
  const candidates: Record<string, { readonly figures: RunFigures; readonly phases: PhaseFigures }> = {};
  let slowest: unknown;
  for (const candidate of fault.candidates) {
    const run = await runCandidate(deployment, candidate, workload, async (cluster) => {
      await sleep(FAULT_AT_MS);
      const faultAtMs = readMonotonicMs();
      await fault.injectFault(cluster);
      return faultAtMs;
    });
    candidates[candidate] = { figures: run.figures, phases: splitPhases(run.records, run.disturbed) };
    if (candidate === 'own') slowest = run.slowest;
  }
  const { own } = candidates;
  if (own === undefined) throw new Error('the product is not among the candidates');
  const baseline = candidates[fault.recovery ?? ''];
  const recovery =
    baseline === undefined
      ? []
      : (['p50', 'p95'] as const).map((part) =>
          buildTarget(
            `interactive ${part} from 5 s after the fault over ${fault.recovery ?? ''}`,
            RECOVERY_LIMIT,
            own.phases.after[part] / baseline.phases.after[part],
          ),
        );
  return { candidates, targets: [...recovery, ...buildPromises(own.figures)], slowest };
}
