import type { DayFinding } from './day-finding.js';
import type { BaselineDay } from './baseline-day.js';
import type { DayResult } from './day-result.js';

/** Largest decrease of `worth` that is attributed to the noise of the bench. */
const WORTH_NOISE = 0.03;

/**
 * Compares the results of days with their baseline figures.
 *
 * @param agreed days that must have a result; those without a baseline are checked for broken rules and faults only
 * @param kept baseline figures
 * @param played results of the run
 * @returns the findings in the order of `agreed`; empty when no day is worse than its baseline
 */
export function compareDays(
  agreed: readonly Pick<BaselineDay, 'site' | 'day'>[],
  kept: readonly BaselineDay[],
  played: readonly DayResult[],
): DayFinding[] {
  const findDay = <Day extends Pick<BaselineDay, 'site' | 'day'>>(
    days: readonly Day[],
    { site, day }: Pick<BaselineDay, 'site' | 'day'>,
  ): Day | undefined => days.find((candidate) => candidate.site === site && candidate.day === day);
  return agreed.flatMap((agreedDay): DayFinding[] => {
    const result = findDay(played, agreedDay);
    if (result === undefined) return [{ kind: 'missing', kept: agreedDay }];
    const baseline = findDay(kept, agreedDay);
    return [
      ...(result.brokenRules.length > 0 ? [{ kind: 'rules' as const, played: result }] : []),
      ...(result.fault === undefined ? [] : [{ kind: 'fault' as const, played: result }]),
      ...(baseline !== undefined && result.worth < baseline.worth - WORTH_NOISE
        ? [{ kind: 'fell' as const, played: result, kept: baseline }]
        : []),
    ];
  });
}
