import type { BaselineDay } from './baseline-day.js';
import type { DayResult } from './day-result.js';

/**
 * A finding of one day: broken rules, a fault that ended the day early, a `worth` below the baseline by more than the noise,
 * or a missing result.
 */
export type DayFinding =
  | { readonly kind: 'rules'; readonly played: DayResult }
  | { readonly kind: 'fault'; readonly played: DayResult }
  | { readonly kind: 'fell'; readonly played: DayResult; readonly kept: BaselineDay }
  | { readonly kind: 'missing'; readonly kept: Pick<BaselineDay, 'site' | 'day'> };
