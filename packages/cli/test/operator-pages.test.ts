import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { REFUSAL_HTTP_STATUS } from '@laburnumshift/errors';
import test from 'ava';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));

const readSources = async (): Promise<string> => {
  const entries = await readdir(join(ROOT, 'packages'), { recursive: true });
  const files = entries.filter((file) => /^[a-z-]+\/src\/.*\.ts$/.test(file));
  const texts = await Promise.all(files.map((file) => readFile(join(ROOT, 'packages', file), 'utf8')));
  return texts.join('\n');
};

/** Reads the cells of the Markdown table rows that start with a name in backquotes. */
const readRows = async (page: string): Promise<readonly (readonly string[])[]> =>
  (await readFile(join(ROOT, 'docs', 'operators', page), 'utf8'))
    .split('\n')
    .filter((line) => line.startsWith('| `'))
    .map((line) => line.split('|').map((cell) => cell.trim().replaceAll('`', '')));

const sortUnique = (names: Iterable<string | undefined>): readonly string[] =>
  [...new Set([...names].filter((name) => name !== undefined))].sort();

test('guards against metrics that are not documented and documented metrics that do not exist', async (t) => {
  const text = await readSources();
  const calls = text.matchAll(
    /\.?\b(?:addToCounter|registerGauge|registerGaugeGroup|recordDuration|addCount|recordValue)\(([^;]*?)\)/g,
  );
  const named = [...calls].flatMap(([, args = '']) => [
    ...(args.split(',')[0] ?? '').matchAll(/['`]([a-z_]+(?:\$\{[^}]*\})?)['`]/g),
  ]);
  const groups = text.matchAll(/^ *\['([a-z_]+)', \w+\.get(?:Retry)?Counts\]/gm);
  const dropped = text.matchAll(/const DROPPED = '([a-z_]+)'/g);
  const kinds = ['granted', 'queued', 'refused'];
  const names = [...named, ...groups, ...dropped].flatMap(([, name = '']) =>
    name.includes('${') ? kinds.map((kind) => name.replace(/\$\{.*\}/, kind)) : [name],
  );
  const documented = (await readRows('metrics.md')).map((row) => row[1]);
  t.true(names.length > 15, 'the names are not found in the code');
  t.deepEqual(sortUnique(documented), sortUnique(names));
  t.is(documented.length, new Set(documented).size);
});

test('guards against refusal codes whose documented status, outcome or advice is missing or outdated', async (t) => {
  const rows = await readRows('errors.md');
  t.deepEqual(Object.fromEntries(rows.map(([, code, status]) => [code, Number(status)])), {
    ...REFUSAL_HTTP_STATUS,
  });
  t.is(rows.length, Object.keys(REFUSAL_HTTP_STATUS).length);
  for (const [, code = '', , outcomes = '', reason, advice] of rows) {
    for (const outcome of outcomes.split(', ')) t.true(['not run', 'ran', 'unknown'].includes(outcome), code);
    t.truthy(reason, code);
    t.truthy(advice, code);
  }
  const direct = (await readSources()).matchAll(
    /createRefusal\(\s*'(\w+)',[^;]*?OUTCOMES\.(notRun|ran|unknown)\b/g,
  );
  for (const [, code, outcome] of direct) {
    const row = rows.find((cells) => cells[1] === code);
    const word = outcome === 'notRun' ? 'not run' : outcome;
    t.true(row?.[3]?.split(', ').includes(word ?? ''), `${code ?? ''} is created with outcome ${word ?? ''}`);
  }
});

test('guards against log prefixes that are not documented', async (t) => {
  const parts = [...(await readSources()).matchAll(/createLogger\('([a-z-]+)'\)/g)].map(([, part]) => part);
  const listed = (await readRows('logs.md')).map((row) => row[1]?.replace(/[[\]]/g, ''));
  t.deepEqual(sortUnique(listed), sortUnique(parts));
});
