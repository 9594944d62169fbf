import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Writable } from 'node:stream';
import { runCli } from '@laburnumshift/cli';
import { startFakePlatform } from '@laburnumshift/fakes/platform';
import { serveOperators } from '@laburnumshift/serve-operators';
import test, { type ExecutionContext } from 'ava';

const runCommand = async (
  ...args: readonly string[]
): Promise<{ code: number; out: string; err: string }> => {
  const texts = { out: '', err: '' };
  const makeStream = (name: 'out' | 'err'): Writable =>
    new Writable({
      write: (chunk: Buffer, _encoding, done) => {
        texts[name] += chunk.toString();
        done();
      },
    });
  const context = {
    stdout: makeStream('out'),
    stderr: makeStream('err'),
    env: { LABURNUMSHIFT_AUTHOR: 'ann' },
  };
  const code = await runCli(args, context);
  return { code, ...texts };
};

const runJson = async (
  ...args: readonly string[]
): Promise<{ code: number; value: Record<string, unknown> }> => {
  const { code, out } = await runCommand(...args, '--json');
  return { code, value: JSON.parse(out) as Record<string, unknown> };
};

const writeDeclarations = async (
  t: ExecutionContext,
  weight: number,
  directory?: string,
): Promise<string> => {
  const targetDirectory = directory ?? (await mkdtemp(join(tmpdir(), 'cli-')));
  if (directory === undefined) t.teardown(() => rm(targetDirectory, { recursive: true }));
  const accounts = [{ name: 'desk', weight, keys: [{ sha256: 'a'.repeat(64) }] }];
  await writeFile(join(targetDirectory, 'desk.laburnum.jsonc'), JSON.stringify({ accounts }));
  return targetDirectory;
};

test('guards against usage errors without an example of a valid command', async (t) => {
  const cases: readonly [readonly string[], RegExp][] = [
    [[], /no command is given\nType for example: laburnumshift --help/],
    [['publsh', '.'], /no command 'publsh'\nType for example: laburnumshift publish/],
    [['check'], /Type for example: laburnumshift check/],
    [
      ['diff', '.', '--plattform', 'x'],
      /no option --plattform; the nearest is --platform\nType for example: laburnumshift diff/,
    ],
    [['--version'], /no command '--version'\nType for example: laburnumshift --help/],
    [['serve'], /--settings is missing\nType for example: laburnumshift serve/],
    [['history', '--limit', 'many'], /--limit must be a whole number/],
    [['history'], /--platform is missing. Type for example: --platform http/],
    [['status', '--node', 'here'], /--node must be a URL/],
    [
      ['outcome', 'booking', 'k1', '--node', 'http://127.0.0.1:1'],
      /--account is missing\nType for example: laburnumshift outcome/,
    ],
  ];
  for (const [args, pattern] of cases) {
    const { code, err } = await runCommand(...args);
    t.is(code, 2, args.join(' '));
    t.regex(err, pattern);
  }
  const { code, out } = await runCommand('publish', '--help');
  t.is(code, 0);
  t.regex(out, /laburnumshift publish \.\/services --platform/);
});

test('guards against exit code 0 for declarations or settings with findings', async (t) => {
  const directory = await writeDeclarations(t, -1);
  const { code, err } = await runCommand('check', directory);
  t.is(code, 1);
  t.regex(err, /^desk\.laburnum\.jsonc:1:\d+: accounts\[0\]\.weight: /);
  t.like(await runJson('check', await writeDeclarations(t, 1, directory)), {
    code: 0,
    value: { accounts: 1 },
  });
  t.like(await runJson('serve', '--settings', join(directory, 'desk.laburnum.jsonc')), { code: 1 });
});

test('guards against a publish that omits nodes without the generation and wrong exit codes of refusals and outages', async (t) => {
  const fake = await startFakePlatform();
  const nodes = [
    { host: 'n1', generation: 1 },
    { host: 'n2', generation: 0 },
  ];
  const operators = await serveOperators({
    listen: '127.0.0.1:0',
    handlers: {
      isHealthy: () => true,
      isReady: () => true,
      readMetrics: () => '',
      readStatus: () => Promise.resolve({ nodes }),
      explainRequest: () => Promise.resolve([]),
      readOutcome: () => Promise.resolve({ state: 'finished' }),
      drainNode: () => undefined,
    },
  });
  t.teardown(async () => {
    await Promise.all([fake.stop(), operators.close()]);
  });
  const directory = await writeDeclarations(t, 1);
  const platform = ['--platform', fake.url];
  const node = ['--node', operators.url, '--wait', '0'];

  t.like(await runJson('publish', directory, ...platform, ...node), {
    code: 3,
    value: { generation: 1, inForce: ['n1'], missing: ['n2'] },
  });
  t.like(await runJson('publish', directory, ...platform), { code: 0, value: { generation: 1, files: [] } });
  await writeDeclarations(t, 2, directory);
  t.like(await runJson('diff', directory, ...platform), {
    code: 0,
    value: { changes: [{ paths: ['accounts[0].weight'] }] },
  });
  t.like(await runJson('publish', directory, ...platform), { code: 0, value: { generation: 2 } });
  await writeDeclarations(t, 3, directory);
  const conflict = await runCommand('publish', directory, ...platform, '--base', '1');
  t.is(conflict.code, 1);
  t.regex(conflict.err, /^desk\.laburnum\.jsonc:1:\d+: accounts\[0\]\.weight: changed here.*\ngeneration 2:/);
  t.like(await runJson('rollback', '1', ...platform), { code: 0, value: { generation: 3 } });
  t.like(await runJson('rollback', '9', ...platform), { code: 1 });
  t.like(await runJson('history', ...platform), { code: 0, value: { heads: { length: 3 } } });
  t.like(await runJson('audit', ...platform), { code: 0, value: { records: { length: 4 } } });
  t.like(await runJson('outcome', 'booking', 'k', '--account', 'desk', '--node', operators.url), {
    code: 0,
    value: { answer: { state: 'finished' } },
  });
  t.like(await runJson('explain', 'r1', '--node', operators.url), { code: 1 });

  fake.setFaults({ silent: true });
  t.like(await runJson('history', ...platform), { code: 3 });
  fake.setFaults({ silent: false, loseAnswerBefore: -1 });
  t.like(await runJson('publish', directory, ...platform), { value: { result: 'unavailable' } });
  fake.setFaults({ lossKind: 'config-head' });
  t.like(await runJson('publish', directory, ...platform), { code: 4, value: { result: 'unknown' } });
  await operators.close();
  t.like(await runJson('drain', '--node', operators.url), { code: 3 });
});
