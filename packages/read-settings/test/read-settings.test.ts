import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { FindingsError } from '@laburnumshift/errors';
import { readSettings } from '@laburnumshift/read-settings';
import test, { type ExecutionContext } from 'ava';

const writeSettings = async (t: ExecutionContext, text: string): Promise<string> => {
  const directory = await mkdtemp(join(tmpdir(), 'settings-'));
  t.teardown(() => rm(directory, { recursive: true }));
  const file = join(directory, 'node.jsonc');
  await writeFile(file, text);
  return file;
};

test('guards against a file with only the required settings that is rejected or loses its defaults', async (t) => {
  const file = await writeSettings(
    t,
    `{ // entry host
      "host": "entry-1", "failureDomain": "a", "mesh": "10.0.0.5:7000",
      "platformUrl": "http://10.0.0.2:8600", "meshSecret": "0123456789abcdef", "journal": { "shards": 5 },
    }`,
  );
  t.like(await readSettings(file), {
    operators: '127.0.0.1:8081',
    journal: { shards: 5, retentionMs: 7_200_000 },
  });
});

test('guards against a check that stops at the first finding or reports findings without a position', async (t) => {
  const file = await writeSettings(
    t,
    `{
  "host": "entry 1",
  "host": "entry-2",
  "mesh": "0.0.0.0:7000",
  "limits": { "maxBodyByte": 5 },
  "seeds": ["10.0.0.6:7000", "10.0.0.7"],
  "meshSecret": "too short"
}`,
  );
  const error = await t.throwsAsync(readSettings(file), { instanceOf: FindingsError });
  const places = error.findings.map(({ line, column, path }) => `${String(line)}:${String(column)} ${path}`);
  t.deepEqual(places, [
    '1:1 failureDomain',
    '1:1 platformUrl',
    '3:3 host',
    '4:3 mesh',
    '5:15 limits.maxBodyByte',
    '6:30 seeds[1]',
    '7:3 meshSecret',
  ]);
  t.false(error.message.includes('too short'));
});

test('guards against a malformed or missing file that fails with an error other than FindingsError', async (t) => {
  const damaged = await t.throwsAsync(readSettings(await writeSettings(t, '{ "host": ')), {
    instanceOf: FindingsError,
  });
  t.is(damaged.findings[0]?.line, 1);
  await t.throwsAsync(readSettings(join(tmpdir(), 'no-such-file.jsonc')), { instanceOf: FindingsError });
});
