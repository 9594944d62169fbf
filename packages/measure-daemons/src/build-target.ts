import type { TargetFigure } from './target-figure.js';

const DIGITS = 1_000;

/** Compares a measured figure with the limit that it must not exceed. A missing figure does not meet the target. */
export function buildTarget(target: string, limit: number, measured: number | undefined): TargetFigure {
  const value = measured ?? Infinity;
  return { target, limit, measured: Math.round(value * DIGITS) / DIGITS, met: value <= limit };
}
