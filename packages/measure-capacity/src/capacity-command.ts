import { mkdirSync, writeFileSync } from 'node:fs';
import { dirname } from 'node:path';
import { Command, Option, UsageError } from 'clipanion';
import { computeSums } from './compute-sums.js';
import { measureCapacity } from './measure-capacity.js';
import { MEASUREMENTS } from './measurements.js';
import { MECHANISM } from './mechanism.js';
import { readCommit } from './read-commit.js';
import { readLines } from './read-lines.js';
import { renderSums } from './render-sums.js';

const FOLDER = 'measurements/capacity';

/** Lists the measurements or runs one or all of them. */
export class CapacityCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Measure slopes of processor time, memory, messages and platform calls; write them as JSON.',
  });

  list = Option.Boolean('--list', false, { description: 'list the measurements' });
  seed = Option.String('--seed', '1', { description: 'seed of the random numbers' });
  out = Option.String('--out', { description: `file for the result; ${FOLDER}/NAME.json by default` });
  measurement = Option.String({ required: false, name: 'NAME' });

  async execute(): Promise<number> {
    if (this.list || this.measurement === undefined) {
      const lines = Object.entries(MEASUREMENTS).map(
        ([name, { description }]) => `${name}: ${description}\n`,
      );
      this.context.stdout.write(lines.join(''));
      this.context.stdout.write(
        'sums: what the slopes give at the target and today; needs the other results\n',
      );
      return 0;
    }
    if (this.measurement === 'sums') return this.writeSums();
    const seed = Number(this.seed);
    if (!Number.isSafeInteger(seed)) throw new UsageError('--seed must be an integer');
    const isAll = this.measurement === 'all';
    if (isAll && this.out !== undefined) throw new UsageError('--out needs one measurement');
    if (!isAll && !Object.hasOwn(MEASUREMENTS, this.measurement)) {
      throw new UsageError(`unknown measurement ${this.measurement}`);
    }
    for (const name of isAll ? Object.keys(MEASUREMENTS) : [this.measurement]) {
      const result = await measureCapacity(name, seed);
      const file = this.out ?? `${FOLDER}/${name}.json`;
      mkdirSync(dirname(file), { recursive: true });
      writeFileSync(file, `${JSON.stringify(result, undefined, 2)}\n`);
      for (const { name: series, unit, per, line } of result.series) {
        const { slope, intercept, error } = line;
        const text = `${intercept.toPrecision(4)} + ${slope.toPrecision(4)} x ${per}`;
        this.context.stdout.write(`${name}: ${series}, ${unit}: ${text} (error ${error.toFixed(3)})\n`);
      }
    }
    return 0;
  }

  private writeSums(): number {
    const sums = computeSums(readLines(FOLDER));
    const command = 'npm run capacity -- sums';
    const result = { command, commit: readCommit(), mechanism: MECHANISM, sums };
    writeFileSync(this.out ?? `${FOLDER}/sums.json`, `${JSON.stringify(result, undefined, 2)}\n`);
    for (const [name, one] of Object.entries(sums)) {
      this.context.stdout.write(`${name}\n\n${renderSums(one)}\n`);
    }
    return 0;
  }
}
