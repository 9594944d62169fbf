import type { DayFinding } from './day-finding.js';
import type { DayResult } from './day-result.js';

const renderName = ({ site, day, seed }: DayResult): string =>
  `${site} ${day} (seed ${String(seed ?? 'unknown')})`;

const RENDERERS: {
  readonly [Kind in DayFinding['kind']]: (finding: Extract<DayFinding, { kind: Kind }>) => string;
} = {
  missing: ({ kept }) => `${kept.site} ${kept.day}: was not played`,
  rules: ({ played }) => `${renderName(played)}: broken rules: ${played.brokenRules.join(', ')}`,
  fault: ({ played }) => `${renderName(played)}: ${played.fault ?? 'given up'}`,
  fell: ({ played, kept }) =>
    `${renderName(played)}: fell from ${kept.worth.toFixed(3)} (${kept.commit}) to ${played.worth.toFixed(3)}`,
};

/** Renders a finding as one line of text. */
export function renderFinding(finding: DayFinding): string {
  const render = RENDERERS[finding.kind] as (finding: DayFinding) => string;
  return render(finding);
}
