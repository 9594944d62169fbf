import { buildTarget } from './build-target.js';
import { DEPLOYMENTS } from './deployments.js';
import { generateWorkload } from './generate-workload.js';
import { runCandidate } from './run-candidate.js';
import type { DaemonFigures } from './daemon-figures.js';

const DURATION_MS = 24_000;

/** Runs the night-walk deployment while the platform refuses every call; only keyed bookings may be refused. */
export async function runPlatformDown(seed: number): Promise<DaemonFigures> {
  const deployment = DEPLOYMENTS['night-walk'];
  const workload = generateWorkload(deployment, seed, 1, DURATION_MS);
  const run = await runCandidate(deployment, 'own', workload, ({ site }) =>
    site.setState({ kind: 'set-platform', faults: { down: true } }),
  );
  const bookings = run.records.filter(({ request }) => request.kind.hasKey === true);
  const others = run.records.filter(({ request }) => request.kind.hasKey !== true);
  const untrue = bookings.filter(({ refusals }) => refusals.some((text) => !text.endsWith('(not run)')));
  return {
    figures: { ...run.figures, failed: run.figures.failed.length },
    targets: [
      buildTarget(
        'completions and seat lists without an answer',
        0,
        others.filter((r) => !r.finished).length,
      ),
      buildTarget('bookings that were run', 0, bookings.filter((record) => record.finished).length),
      buildTarget('bookings refused as anything but not run', 0, untrue.length),
      buildTarget('answers with foreign blocks', 0, run.figures.foreignAnswers),
    ],
    slowest: run.slowest,
  };
}
