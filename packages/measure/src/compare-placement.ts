import type { Deployment } from './deployment.js';
import type { RunFigures } from './run-figures.js';
import type { TargetFigure } from './target-figure.js';
import type { VariantFigures } from './variant-figures.js';

/** Candidates that are no baselines begin with this. */
const OWN_PLACEMENT = 'own, ';
const OWN = 'own, planned';
const RECOMPUTE_ONLY = 'least-loaded, keep-none';

/** Compares the own figures with the targets of section 1.2. */
export function comparePlacement(
  deployment: Deployment,
  variants: Readonly<Record<string, VariantFigures>>,
): readonly TargetFigure[] {
  const targets: TargetFigure[] = [];
  const addTarget = (target: string, measured: number, limit: number): void => {
    targets.push({ target, limit, measured, met: measured <= limit });
  };
  /** Equal figures give 1, also when both are zero. */
  const computeRatio = (own: number, other: number): number =>
    own === other ? 1 : own / Math.max(other, Number.EPSILON);
  const isTimeFirst = deployment.heaviest === 'ttft';
  for (const [name, variant] of Object.entries(variants)) {
    const own = variant.candidates[OWN];
    if (own === undefined) continue;
    const [best, figures] = findBest(variant, isTimeFirst);
    const ttft = computeRatio(own.interactive.p95, figures.interactive.p95);
    const recomputed = computeRatio(own.recomputedShare, figures.recomputedShare);
    addTarget(`${name}: p95 TTFT, ${OWN} over ${best}`, ttft, isTimeFirst ? 0.7 : 1);
    addTarget(`${name}: share recomputed, ${OWN} over ${best}`, recomputed, isTimeFirst ? 1 : 0.6);
    const recompute = variant.candidates[RECOMPUTE_ONLY];
    if (own.afterFault !== undefined && recompute?.afterFault !== undefined) {
      const label = `${name}: p95 TTFT from 5 s after the fault over recompute only`;
      addTarget(label, own.afterFault.p95 / recompute.afterFault.p95, 1.2);
      addTarget(`${name}: refused requests`, own.refused, 0);
    }
    if (name !== 'steady') continue;
    addTarget(
      'steady: p95 TTFT over the lower bound',
      own.interactive.p95 / variant.lowerBound.interactive.p95,
      1.25,
    );
    addTarget(
      'steady: share computed over the lower bound',
      own.computedShare / variant.lowerBound.computedShare,
      1.25,
    );
  }
  const twice = variants.twice?.candidates[OWN];
  const half = variants.half?.candidates[OWN];
  if (twice !== undefined && half !== undefined) {
    addTarget('urgent p99 TTFT at twice the load over half', twice.urgent.p99 / half.urgent.p99, 1.5);
  }
  return targets;
}

/** Finds the pair of a placement and a retention baseline that is best in the measure with the most weight. */
function findBest(variant: VariantFigures, isTimeFirst: boolean): [string, RunFigures] {
  const measure = (figures: RunFigures): number =>
    isTimeFirst ? figures.interactive.p95 : figures.recomputedShare;
  const baselines = Object.entries(variant.candidates).filter(([name]) => !name.startsWith(OWN_PLACEMENT));
  const best = baselines.sort(([, a], [, b]) => measure(a) - measure(b))[0];
  if (best === undefined) throw new Error('no baseline was run');
  return best;
}
