import { buildTarget } from './build-target.js';
import type { RunFigures } from './run-figures.js';
import type { TargetFigure } from './target-figure.js';

/** Builds the targets that hold in every scenario. */
export function buildPromises(figures: RunFigures): TargetFigure[] {
  return [
    buildTarget('requests without an answer', 0, figures.failed.length),
    buildTarget('repeated bookings', 0, figures.repeatedBookings),
    buildTarget('bookings answered but not run', 0, figures.lostBookings),
    buildTarget('answers with foreign blocks', 0, figures.foreignAnswers),
  ];
}
