import { execFileSync } from 'node:child_process';
import type { MeasureResult } from './measure-result.js';
import { SCENARIOS } from './scenarios.js';

/**
 * Runs one scenario.
 *
 * @throws when there is no scenario of this name
 */
export function measure(name: string, seed: number): MeasureResult {
  const scenario = SCENARIOS[name];
  if (scenario === undefined) throw new Error(`unknown scenario ${name}`);
  return {
    command: `npm run measure -- ${name} --seed ${String(seed)}`,
    scenario: name,
    seed,
    commit: readCommit(),
    repeatable: scenario.repeatable,
    figures: scenario.run(seed),
  };
}

function readCommit(): string {
  try {
    const head = execFileSync('git', ['rev-parse', '--short', 'HEAD'], { encoding: 'utf8' }).trim();
    const changes = execFileSync('git', ['status', '--porcelain', '--untracked-files=no'], {
      encoding: 'utf8',
    });
    return changes === '' ? head : `${head}, with uncommitted changes`;
  } catch {
    return 'unknown';
  }
}
