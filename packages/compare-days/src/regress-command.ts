import { readFile, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { Command, Option } from 'clipanion';
import { agreedDaysSchema } from './agreed-days-schema.js';
import { compareDays } from './compare-days.js';
import { runDays } from './run-days.js';
import type { DayResult } from './day-result.js';
import { renderFinding } from './render-finding.js';

const DAYS_FILE = path.join('measurements', 'machines', 'days.json');

/**
 * Runs the agreed days and prints the findings against the baseline figures. The exit code is 1 when there are findings,
 * otherwise 0.
 */
export class RegressCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Play the agreed days of deployments and compare them with the kept figures.',
    details: `Reads and writes \`${DAYS_FILE}\` below the working directory. Ends with 1 when a figure fell or a rule broke.`,
    examples: [['Play all sites', 'regress --bench ../bench --sites ../sites']],
  });

  bench = Option.String('--bench', { required: true, description: 'program of the bench' });
  sites = Option.String('--sites', { required: true, description: 'folder that the sites are below' });
  only = Option.String('--only', { description: 'play this site alone' });
  keep = Option.Boolean('--keep', false, { description: 'keep the new figures' });

  async execute(): Promise<number> {
    const agreed = agreedDaysSchema.parse(JSON.parse(await readFile(DAYS_FILE, 'utf8')));
    const sites = agreed.sites.filter(({ site }) => this.only === undefined || site === this.only);
    const played: DayResult[] = [];
    for (const { file, days } of sites) {
      const results = await runDays({
        bench: path.resolve(this.bench),
        site: path.resolve(this.sites, file),
        days,
        root: process.cwd(),
        reason: 'regression: the agreed days',
        onOutput: (text) => this.context.stderr.write(text),
      });
      for (const { site, day, worth } of results)
        this.context.stdout.write(`${site} ${day} ${worth.toFixed(3)}\n`);
      played.push(...results);
    }
    const days = sites.flatMap((one) => one.days.map((day) => ({ site: one.site, day })));
    const findings = compareDays(days, agreed.kept, played);
    for (const finding of findings) this.context.stdout.write(`${renderFinding(finding)}\n`);
    if (this.keep) {
      const isPlayed = (site: string, day: string): boolean =>
        played.some((one) => one.site === site && one.day === day);
      const kept = [
        ...agreed.kept.filter(({ site, day }) => !isPlayed(site, day)),
        ...played.map(({ site, day, worth, commit }) => ({ site, day, worth, commit })),
      ];
      await writeFile(DAYS_FILE, `${JSON.stringify({ ...agreed, kept }, undefined, 2)}\n`);
    }
    return findings.length === 0 ? 0 : 1;
  }
}
