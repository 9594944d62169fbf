import { mkdirSync, writeFileSync } from 'node:fs';
import { dirname } from 'node:path';
import { Command, Option, UsageError } from 'clipanion';
import { DAEMON_SCENARIOS } from './daemon-scenarios.js';
import { measureDaemons } from './measure-daemons.js';
import { readResults } from './read-results.js';
import { renderTables } from './render-tables.js';

/** Lists the scenarios or runs one of them. */
export class MeasureDaemonsCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Run a measurement over real daemons and write its figures as JSON.',
  });

  list = Option.Boolean('--list', false, { description: 'list the scenarios' });
  tables = Option.String('--tables', { description: 'print the results in a directory as tables' });
  seed = Option.String('--seed', '1', { description: 'seed of the random numbers' });
  out = Option.String('--out', { description: 'file for the result; standard output by default' });
  scenario = Option.String({ required: false, name: 'NAME' });

  async execute(): Promise<number> {
    if (this.tables !== undefined) {
      this.context.stdout.write(renderTables(await readResults(this.tables)));
      return 0;
    }
    if (this.list || this.scenario === undefined) {
      const lines = Object.entries(DAEMON_SCENARIOS).map(
        ([name, { description }]) => `${name}: ${description}\n`,
      );
      this.context.stdout.write(lines.join(''));
      return 0;
    }
    const seed = Number(this.seed);
    if (!Number.isSafeInteger(seed)) throw new UsageError('--seed must be an integer');
    const result = await measureDaemons(this.scenario, seed);
    if (result === undefined) throw new UsageError(`unknown scenario ${this.scenario}`);
    const text = `${JSON.stringify(result, undefined, 2)}\n`;
    if (this.out === undefined) this.context.stdout.write(text);
    else {
      mkdirSync(dirname(this.out), { recursive: true });
      writeFileSync(this.out, text);
    }
    return 0;
  }
}
