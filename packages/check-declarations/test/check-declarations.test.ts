import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { checkDeclarations, compileConfig, hashSegment } from '@laburnumshift/check-declarations';
import { FindingsError } from '@laburnumshift/errors';
import test, { type ExecutionContext } from 'ava';

const HASH = 'a'.repeat(64);
const POOL = `{ "name": "tailors", "model": "m", "weightVersion": "v1",
  "servers": [{ "name": "engine-1", "url": "http://10.0.0.1:9000", "failureDomain": "a" }] }`;

const writeFiles = async (t: ExecutionContext, files: Readonly<Record<string, string>>): Promise<string> => {
  const directory = await mkdtemp(join(tmpdir(), 'declarations-'));
  t.teardown(() => rm(directory, { recursive: true }));
  for (const [file, text] of Object.entries(files)) {
    await mkdir(dirname(join(directory, file)), { recursive: true });
    await writeFile(join(directory, file), text);
  }
  return directory;
};

const collectFindings = async (
  t: ExecutionContext,
  files: Readonly<Record<string, string>>,
): Promise<string[]> => {
  const directory = await writeFiles(t, files);
  const error = await t.throwsAsync(checkDeclarations(directory), { instanceOf: FindingsError });
  return error.message.split('\n');
};

test('guards against minimal files that do not compile, and against inherited members such as `constructor` taken for accounts', async (t) => {
  const directory = await writeFiles(t, {
    'pools/tailors.laburnum.jsonc': `{ "pools": [${POOL}], "accounts": [{ "name": "desk", "keys": [{ "sha256": "${HASH}" }] }] }`,
    'quotes.laburnum.jsonc': `{ // urgent
      "services": [{ "name": "quotes", "model": "m", "priority": "urgent", "pool": "tailors" }],
      "routes": [{ "service": "quotes", "pool": "tailors", "accounts": ["desk"] }] }`,
    'node_modules/x/other.laburnum.jsonc': '{ damaged',
  });
  const segments = await checkDeclarations(directory);
  t.deepEqual(
    segments.map(({ file }) => file),
    ['pools/tailors.laburnum.jsonc', 'quotes.laburnum.jsonc'],
  );
  const config = compileConfig({ generation: 3, changeId: 'c', publishedAtMs: 1 }, segments);
  t.deepEqual(
    config.routes.map(({ name }) => name),
    ['quotes-to-tailors', 'service/quotes'],
  );
  t.like(config.services.quotes, { idempotent: true, deadlineMs: 2000, accounts: '*' });
  t.false('constructor' in config.accounts);
  const [first] = segments;
  if (first !== undefined) {
    t.is(hashSegment(Object.fromEntries(Object.entries(first).reverse()) as never), hashSegment(first));
  }
});

test('guards against a check that stops at the first finding or the first invalid file', async (t) => {
  const lines = await collectFindings(t, {
    'a.laburnum.jsonc': `{
  "accounts": [{ "name": "desk", "keys": [{ "sha256": "secret-key" }] }],
  "services": [{ "name": "Quotes" }, { "name": "seats", "kind": "odd", "deadline": 5 }]
}`,
    'b.laburnum.jsonc': '{ "pools": [',
    'c.laburnum.jsonc': '{ "pools": [{ "name": "p", "servers": [] }] }',
  });
  t.deepEqual(
    lines.map((line) => line.split(': ').slice(0, 2).join(' ')),
    [
      'a.laburnum.jsonc:2:45 accounts[0].keys[0].sha256',
      'a.laburnum.jsonc:3:18 services[0].name',
      'a.laburnum.jsonc:3:57 services[1].kind',
      'a.laburnum.jsonc:3:72 services[1].deadline',
      'b.laburnum.jsonc:1:13 syntax error',
      'b.laburnum.jsonc:1:13 syntax error',
      'c.laburnum.jsonc:1:28 pools[0].servers',
    ],
  );
  t.false(lines.join().includes('secret-key'));
});

test('guards against duplicate names, unknown references and kind mismatches across files that are each valid alone', async (t) => {
  const lines = await collectFindings(t, {
    'a.laburnum.jsonc': `{ "pools": [${POOL}],
  "accounts": [{ "name": "desk", "keys": [{ "sha256": "${HASH}" }] },
    { "name": "shop", "keys": [{ "sha256": "${HASH}" }] }] }`,
    'b.laburnum.jsonc': `{
  "pools": [${POOL}],
  "services": [
    { "name": "booking", "model": "m", "idempotent": false, "pool": "tailors" },
    { "name": "other", "model": "n", "adapter": "x", "pool": "tailors", "accounts": ["nobody"] },
    { "name": "plain", "kind": "plain", "pool": "tailors" },
    { "name": "lost", "model": "m" }
  ],
  "routes": [{ "service": "absent", "pool": "gone", "accounts": ["desk", "ghost"] }]
}`,
  });
  const expected = [
    /^b\S+:2:15: pools\[0\].name: pool 'tailors' is also declared in a/,
    /^b\S+: pools\[0\].servers\[0\].name: backend server or store 'engine-1'/,
    /^a\S+:4:34: accounts\[1\].keys\[0\].sha256: key hash/,
    /^b\S+:5:40: services\[0\].idempotent: a model service is always idempotent/,
    /^b\S+:6:86: services\[1\].accounts\[0\]: unknown account 'nobody'/,
    /^b\S+:8:7: services\[3\].name: service 'lost' has neither/,
    /^b\S+:10:74: routes\[0\].accounts\[1\]: unknown account 'ghost'/,
    /^b\S+:10:16: routes\[0\].service: unknown service 'absent'/,
    /^b\S+:10:37: routes\[0\].pool: unknown pool 'gone'/,
    /^b\S+: services\[1\].pool: pool 'tailors' runs 'm', not 'n'/,
    /^b\S+: services\[1\].pool: pool 'tailors' has no adapter 'x'/,
    /^b\S+: services\[2\].pool: pool 'tailors' is model, service 'plain' is plain/,
  ];
  t.is(lines.length, expected.length, lines.join('\n'));
  for (const pattern of expected)
    t.true(
      lines.some((line) => pattern.test(line)),
      `${String(pattern)}\n${lines.join('\n')}`,
    );
});

test('guards against a server role that is dropped in a model pool or accepted in a plain pool', async (t) => {
  const renderPool = (kind: string, members: string): string =>
    `{ "pools": [{ "name": "p", "kind": "${kind}", ${members} "servers": [
      { "name": "e", "url": "http://10.0.0.1:9000", "failureDomain": "a", "role": "prefill" }] }] }`;
  const model = renderPool('model', '"model": "m", "weightVersion": "v1",');
  const directory = await writeFiles(t, { 'a.laburnum.jsonc': model });
  const [segment] = await checkDeclarations(directory);
  t.is(segment?.pools[0]?.servers[0]?.role, 'prefill');
  const lines = await collectFindings(t, { 'a.laburnum.jsonc': renderPool('plain', '') });
  t.true(lines.some((line) => line.includes('so they have no role')));
});

test('guards against a directory without declaration files that is accepted as an empty configuration', async (t) => {
  t.regex((await collectFindings(t, {}))[0] ?? '', /no \*\.laburnum\.jsonc file/);
});
