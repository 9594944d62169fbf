import { buildPromises } from './build-promises.js';
import { buildTarget } from './build-target.js';
import type { Deployment } from './deployment.js';
import type { RunFigures } from './run-figures.js';
import type { TargetFigure } from './target-figure.js';

const TTFT_LIMIT = 0.7;
const RECOMPUTED_LIMIT = 0.6;
const BOUND_LIMIT = 1.25;

/** The candidates of one run against each other. */
interface Comparison {
  /** Figures of the product over those of each baseline. */
  readonly ratios: Readonly<Record<string, { readonly p95: number; readonly shareRecomputed: number }>>;
  readonly targets: readonly TargetFigure[];
}

/** Compares the product with the best baseline of the same run: the best one for each measure by itself. */
export function compareCandidates(
  deployment: Deployment,
  candidates: Readonly<Record<string, RunFigures>>,
  steady: boolean,
): Comparison {
  const { own, ...baselines } = candidates;
  if (own === undefined) throw new Error('the product is not among the candidates');
  const ratios = Object.fromEntries(
    Object.entries(baselines).map(([name, { interactive, shareRecomputed }]) => [
      name,
      {
        p95: own.interactive.p95 / interactive.p95,
        shareRecomputed: own.shareRecomputed / shareRecomputed,
      },
    ]),
  );
  const pickWorst = (measure: 'p95' | 'shareRecomputed'): readonly [string, number] =>
    Object.entries(ratios)
      .map(([name, values]) => [name, values[measure]] as const)
      .reduce((worst, other) => (other[1] > worst[1] ? other : worst), ['none', 0]);
  const [fastest, p95] = pickWorst('p95');
  const [leanest, share] = pickWorst('shareRecomputed');
  const isTtft = deployment.heaviest === 'ttft';
  return {
    ratios,
    targets: [
      buildTarget(`interactive p95 over ${fastest}`, isTtft ? TTFT_LIMIT : 1, p95),
      buildTarget(`share recomputed over ${leanest}`, isTtft ? 1 : RECOMPUTED_LIMIT, share),
      ...(steady
        ? [
            buildTarget(
              'interactive p95 over the lower bound',
              BOUND_LIMIT,
              own.interactive.p95 / own.lowerBoundP95Ms,
            ),
          ]
        : []),
      ...buildPromises(own),
    ],
  };
}
