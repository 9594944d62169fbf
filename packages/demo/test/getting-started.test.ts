import { execFile, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import test from 'ava';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const MARK = '=== block ===';
const execute = promisify(execFile);

interface Block {
  readonly kind: string;
  readonly text: string;
}

const readBlocks = async (file: string): Promise<readonly Block[]> =>
  [...(await readFile(join(ROOT, file), 'utf8')).matchAll(/^```(\w+)\n([^]*?)^```$/gm)].map(
    ([, kind = '', text = '']) => ({ kind, text }),
  );

/** Turns an expected line with `...` into a pattern; the number of spaces does not matter. */
const toPattern = (line: string): RegExp => {
  const parts = line.split('...').map((part) => part.replace(/[.*+?^${}()|[\]\\]/g, '\\$&').trim());
  return new RegExp(`^ *${parts.join('.*').replace(/ +/g, ' +')}$`, 'm');
};

test('guards against a first page whose commands no longer work', async (t) => {
  t.timeout(110_000);
  const [install, start, ...steps] = await readBlocks('docs/getting-started.md');
  const [readme] = await readBlocks('README.md');
  // These two commands run this test, so that they cannot run in it; .ci/run runs them.
  t.is(install?.text, readme?.text);

  const directory = await mkdtemp(join(tmpdir(), 'getting-started-'));
  t.teardown(() => rm(directory, { recursive: true, force: true }));
  const replaceDirectory = (text: string): string =>
    text.replaceAll(/\btmp\/(?=site|answer)/g, `${directory}/`);
  const options = { cwd: ROOT, detached: true } as const;
  const kept = spawn('bash', ['-ec', replaceDirectory(start?.text ?? '')], options);
  const exited = once(kept, 'exit');
  t.teardown(async () => {
    if (kept.pid !== undefined && kept.exitCode === null) process.kill(-kept.pid, 'SIGTERM');
    await exited;
  });
  let isReady = false;
  for await (const line of createInterface({ input: kept.stdout })) {
    isReady = line.startsWith('Running until Ctrl-C');
    if (isReady) break;
  }
  kept.stdout.resume();
  t.true(isReady, 'the fakes and the daemons do not start');

  const commands = steps.filter(({ kind }) => kind === 'sh');
  const script = replaceDirectory(commands.map(({ text }) => `echo '${MARK}'\n${text}`).join(''));
  const result = await execute('bash', ['-ec', script], { cwd: ROOT }).catch((error: unknown) => {
    t.log(error);
    return { stdout: '' };
  });
  const [, ...printed] = result.stdout.split(`${MARK}\n`);
  t.is(printed.length, commands.length, 'a command fails');
  let current = 0;
  for (const [index, { kind, text }] of steps.entries()) {
    if (kind === 'sh') current += index === 0 ? 0 : 1;
    else for (const line of text.trimEnd().split('\n')) t.regex(printed[current] ?? '', toPattern(line));
  }
});
