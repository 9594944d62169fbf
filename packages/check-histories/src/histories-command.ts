import { Command, Option, UsageError } from 'clipanion';
import { checkHistories } from './check-histories.js';
import type { FaultName } from './faults/fault-name.js';
import { FAULT_TABLE } from './faults/fault-table.js';
import { renderSummary } from './render-summary.js';

/** Runs random histories and prints what was run and what broke. */
export class HistoriesCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Run random histories with faults and check the invariants.',
  });

  seed = Option.String('--seed', '1', { description: 'seed of the first history' });
  runs = Option.String('--runs', '10', { description: 'number of histories' });
  lanes = Option.String('--lanes', '4', { description: 'histories that run at once' });
  shrink = Option.String('--shrink', '30', {
    description: 'runs spent on making a failing schedule smaller',
  });
  faults = Option.String('--faults', {
    description: 'names of faults to draw from, with commas; all by default',
  });

  async execute(): Promise<number> {
    const names = Object.keys(FAULT_TABLE) as FaultName[];
    const chosen = this.faults === undefined ? names : this.faults.split(',');
    const unknown = chosen.filter((name) => !Object.hasOwn(FAULT_TABLE, name));
    if (unknown.length > 0) {
      throw new UsageError(`unknown faults: ${unknown.join(', ')}; there are ${names.join(', ')}`);
    }
    const summary = await checkHistories({
      seed: parseCount('--seed', this.seed),
      runs: parseCount('--runs', this.runs),
      lanes: parseCount('--lanes', this.lanes),
      shrinkRuns: parseCount('--shrink', this.shrink),
      faults: chosen as FaultName[],
      onViolation: (seed, violations) => {
        const [first] = violations;
        this.context.stdout.write(
          `seed ${String(seed)}: ${first?.invariant ?? ''}: ${first?.detail ?? ''}\n`,
        );
      },
    });
    this.context.stdout.write(renderSummary(summary));
    return summary.failures.length + summary.errors.length === 0 ? 0 : 1;
  }
}

function parseCount(name: string, text: string): number {
  const count = Number(text);
  if (!Number.isSafeInteger(count) || count < 0) throw new UsageError(`${name} must be a whole number`);
  return count;
}
