import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { checkDeclarations } from '@laburnumshift/check-declarations';
import { FindingsError } from '@laburnumshift/errors';
import { readSettings } from '@laburnumshift/read-settings';
import test from 'ava';
import fc from 'fast-check';

const SEED = 20_261;
const RUNS = 150;
const EXAMPLE = '../../../../examples/night-walk/storyteller/pool.laburnum.jsonc';

/** Generates corrupted copies of a valid document, arbitrary JSON, arbitrary text and deeply nested documents. */
const buildDocuments = (validText: string): fc.Arbitrary<string> =>
  fc.oneof(
    fc
      .tuple(fc.nat(validText.length), fc.nat(40), fc.string({ maxLength: 12 }))
      .map(([at, cut, text]) => validText.slice(0, at) + text + validText.slice(at + cut)),
    fc
      .tuple(fc.constantFrom('pools', 'accounts', 'services', 'routes', '__proto__'), fc.jsonValue())
      .map(([name, value]) => `{${JSON.stringify(name)}: [${JSON.stringify(value)}]}`),
    fc.json(),
    fc.string({ unit: 'binary' }),
    fc.nat(2_000).map((depth) => '[{"a":'.repeat(depth)),
  );

test('guards against a document that makes reading fail with an error that lists no findings', async (t) => {
  const directory = await mkdtemp(join(tmpdir(), 'fuzz-'));
  t.teardown(() => rm(directory, { recursive: true }));
  const validText = await readFile(fileURLToPath(new URL(EXAMPLE, import.meta.url)), 'utf8');
  const file = join(directory, 'a.laburnum.jsonc');
  const verifyFindings = async (read: () => Promise<unknown>): Promise<void> => {
    await read().catch((error: unknown) => {
      if (!(error instanceof FindingsError) || error.findings.length === 0) throw error;
    });
  };
  const property = fc.asyncProperty(buildDocuments(validText), async (text) => {
    await writeFile(file, text);
    await verifyFindings(() => checkDeclarations(directory));
    await verifyFindings(() => readSettings(file));
  });
  await fc.assert(property, { seed: SEED, numRuns: RUNS });
  t.pass();
});

const OPENINGS = ['[{"a":', '[', '{"a":', '{"pools":[{"a":'];
const DEPTHS = [65, 1_000, 4_000, 100_000];

for (const opening of OPENINGS) {
  test(`guards against a deeply nested document that overflows the stack: ${opening}`, async (t) => {
    const directory = await mkdtemp(join(tmpdir(), 'deep-'));
    t.teardown(() => rm(directory, { recursive: true }));
    const file = join(directory, 'a.laburnum.jsonc');
    for (const depth of DEPTHS) {
      await writeFile(file, opening.repeat(depth));
      for (const read of [() => checkDeclarations(directory), () => readSettings(file)]) {
        const error = await t.throwsAsync(read, { instanceOf: FindingsError });
        t.deepEqual(
          error.findings.map(({ message }) => message),
          ['objects and lists are nested deeper than 64 levels'],
        );
      }
    }
  });
}
