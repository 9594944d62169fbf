import type { DemoFigures } from './demo-figures.js';

/** Lists the promises that the figures break. */
export function findBroken(figures: Omit<DemoFigures, 'broken'>): readonly string[] {
  const checks: readonly (readonly [string, boolean])[] = [
    ['the long prompt was answered', figures.firstTokenFirstMs > 0],
    [
      'the return starts at less than half the time of the first run',
      figures.firstTokenReturnMs < figures.firstTokenFirstMs / 2,
    ],
    ['all urgent calls were answered', figures.urgentAnswered === 1],
    ['the booking sent twice ran once', figures.bookingRuns === 1],
    ['the booking resent after a kill ran at most once', figures.bookingAfterKillRuns <= 1],
    ['no answer used a block of another account or weight version', figures.wrongBlocks === 0],
  ];
  return checks.filter(([, held]) => !held).map(([promise]) => promise);
}
