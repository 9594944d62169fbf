import type { History } from '../history/history.js';

/** I1: no run used a block whose text was not that of its own prompt, and no answer shows it. */
export function checkBlocks(history: History): readonly string[] {
  const runs = Object.entries(history.engineRuns).flatMap(([engine, records]) =>
    records
      .filter((run) => run.foreignBy.includes('text'))
      .map((run) => `run ${run.requestId} on ${engine} used a block with another text`),
  );
  const answers = history.completions
    .filter(({ tokens }) => tokens.some((text) => text.startsWith('foreign-')))
    .map(
      ({ key, account }) => `the answer to ${key} of ${account} was built from a block with other content`,
    );
  return [...runs, ...answers];
}
