import { writeFileSync } from 'node:fs';
import { Command, Option, UsageError } from 'clipanion';
import { measure } from './measure.js';
import { SCENARIOS } from './scenarios.js';

/** Lists the scenarios or runs one of them. */
export class MeasureCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Run a measurement scenario and write its figures as JSON.',
  });

  list = Option.Boolean('--list', false, { description: 'list the scenarios' });
  seed = Option.String('--seed', '1', { description: 'seed of the random numbers' });
  out = Option.String('--out', { description: 'file for the result; standard output by default' });
  scenario = Option.String({ required: false, name: 'NAME' });

  execute(): Promise<number> {
    if (this.list || this.scenario === undefined) {
      const lines = Object.entries(SCENARIOS).map(([name, { description }]) => `${name}: ${description}\n`);
      this.context.stdout.write(lines.join(''));
      return Promise.resolve(0);
    }
    const seed = Number(this.seed);
    if (!Number.isSafeInteger(seed)) throw new UsageError('--seed must be an integer');
    if (!Object.hasOwn(SCENARIOS, this.scenario)) throw new UsageError(`unknown scenario ${this.scenario}`);
    const text = `${JSON.stringify(measure(this.scenario, seed), undefined, 2)}\n`;
    if (this.out === undefined) this.context.stdout.write(text);
    else writeFileSync(this.out, text);
    return Promise.resolve(0);
  }
}
