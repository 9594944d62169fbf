import { DAEMON_SCENARIOS } from './daemon-scenarios.js';
import type { DaemonResult } from './daemon-result.js';
import { readCommit } from './read-commit.js';

/**
 * Runs one scenario over real daemons.
 *
 * @returns `undefined` when there is no scenario of this name
 */
export async function measureDaemons(name: string, seed: number): Promise<DaemonResult | undefined> {
  const scenario = Object.hasOwn(DAEMON_SCENARIOS, name) ? DAEMON_SCENARIOS[name] : undefined;
  if (scenario === undefined) return undefined;
  const commit = readCommit();
  const figures = await scenario.run(seed);
  const command = `npm run measure-daemons -- ${name} --seed ${String(seed)}`;
  return { command, scenario: name, seed, commit, figures };
}
