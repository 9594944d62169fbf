import { chmod, mkdir, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { runDays } from '@laburnumshift/compare-days';
import { Cli } from 'clipanion';
import test from 'ava';
import { RegressCommand } from '../src/regress-command.js';

/** Source of a bench that writes a journal entry for each day; the day `bad` breaks a rule and exits with code 1. */
const BENCH = `#!/usr/bin/env node
const { writeFileSync } = require('node:fs');
const [, site, day] = process.argv.slice(2);
const rules = day === 'bad' ? { LOST: 1 } : {};
const entry = { site: 's', head: 'c0ffee1234', dirty: false, at: ['a', 'b'],
  days: [{ name: day, seed: 3, G: 0.5, rules, fault: null }] };
writeFileSync('journal/' + day + '.json', JSON.stringify(entry));
process.stdout.write(site);
process.exitCode = day === 'bad' ? 1 : 0;
`;
const createRoot = async (): Promise<string> => {
  const root = await mkdtemp(path.join(tmpdir(), 'days-'));
  await mkdir(path.join(root, 'journal'));
  await mkdir(path.join(root, 'measurements', 'machines'), { recursive: true });
  await writeFile(path.join(root, 'bench'), BENCH);
  await chmod(path.join(root, 'bench'), 0o755);
  return root;
};

test('guards against days that run out of order, and against results lost when the bench exits with an error code', async (t) => {
  const root = await createRoot();
  t.teardown(() => rm(root, { recursive: true }));
  const output: string[] = [];
  const played = await runDays({
    bench: path.join(root, 'bench'),
    site: 'a.toml',
    days: ['good', 'bad'],
    root,
    reason: 'test',
    onOutput: (text) => output.push(text),
  });
  t.deepEqual(
    played.map(({ day, worth, commit, brokenRules }) => [day, worth, commit, ...brokenRules]),
    [
      ['good', 0.5, 'c0ffee1'],
      ['bad', 0.5, 'c0ffee1', 'LOST'],
    ],
  );
  t.is(output.join(''), 'a.tomla.toml');
});

test.serial(
  'guards against a command that hides findings, exits with 0 despite them or ignores --keep',
  async (t) => {
    const root = await createRoot();
    const before = process.cwd();
    process.chdir(root);
    t.teardown(async () => {
      process.chdir(before);
      await rm(root, { recursive: true });
    });
    const file = path.join('measurements', 'machines', 'days.json');
    const kept = [{ site: 's', day: 'good', worth: 0.6, commit: 'aaaaaaa' }];
    await writeFile(
      file,
      JSON.stringify({ sites: [{ file: 'a.toml', site: 's', days: ['good', 'bad'] }], kept }),
    );
    const cli = new Cli();
    cli.register(RegressCommand);
    let printed = '';
    const output = { write: (text: string) => (printed += text) } as unknown as NodeJS.WriteStream;
    const context = { ...Cli.defaultContext, stdout: output, stderr: output };
    const code = await cli.run(['--bench', 'bench', '--sites', '.', '--keep'], context);
    t.is(code, 1);
    t.true(printed.includes('s good (seed 3): fell from 0.600 (aaaaaaa) to 0.500'));
    t.true(printed.includes('s bad (seed 3): broken rules: LOST'));
    const written = JSON.parse(await readFile(file, 'utf8')) as { kept: unknown };
    t.deepEqual(written.kept, [
      { site: 's', day: 'good', worth: 0.5, commit: 'c0ffee1' },
      { site: 's', day: 'bad', worth: 0.5, commit: 'c0ffee1' },
    ]);
  },
);
