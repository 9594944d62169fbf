import { writeFileSync } from 'node:fs';
import { DAEMON_SCENARIOS, measureDaemons } from '@laburnumshift/measure-daemons';
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

  async execute(): Promise<number> {
    if (this.list || this.scenario === undefined) {
      const lines = Object.entries({ ...SCENARIOS, ...DAEMON_SCENARIOS }).map(
        ([name, { description }]) => `${name}: ${description}\n`,
      );
      this.context.stdout.write(lines.join(''));
      return 0;
    }
    const seed = Number(this.seed);
    if (!Number.isSafeInteger(seed)) throw new UsageError('--seed must be an integer');
    const result = Object.hasOwn(SCENARIOS, this.scenario)
      ? measure(this.scenario, seed)
      : await measureDaemons(this.scenario, seed);
    if (result === undefined) throw new UsageError(`unknown scenario ${this.scenario}`);
    const text = `${JSON.stringify(result, undefined, 2)}\n`;
    if (this.out === undefined) this.context.stdout.write(text);
    else writeFileSync(this.out, text);
    return 0;
  }
}
