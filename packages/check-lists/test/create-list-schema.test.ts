import { createListSchema, createRecordSchema } from '@laburnumshift/check-lists';
import test from 'ava';
import { z } from 'zod';

const LENGTH = 100_000;
const MODEL = z.object({ name: z.string(), version: z.number().int() });

/** Counts the elements of an array that are read. */
const countReads = (elements: readonly unknown[]) => {
  let reads = 0;
  const counted = new Proxy(elements, {
    get: (target, key, receiver): unknown => {
      if (typeof key === 'string' && /^\d+$/.test(key)) reads += 1;
      return Reflect.get(target, key, receiver);
    },
  });
  return { counted, getReads: () => reads };
};

test('guards against one problem for each element of a list', (t) => {
  const { counted, getReads } = countReads(Array.from({ length: LENGTH }, () => 1));
  const { error } = createListSchema(MODEL).safeParse(counted);
  t.deepEqual(
    error?.issues.map(({ path, code }) => [path, code]),
    [[[0], 'invalid_type']],
  );
  t.is(getReads(), 1);
});

test('guards against one problem for each element of lists within lists', (t) => {
  const accounts = Array.from({ length: 300 }, () => ({ keys: Array.from({ length: 300 }, () => 1) }));
  const { error } = createListSchema(z.object({ keys: createListSchema(z.string()) })).safeParse(accounts);
  t.deepEqual(
    error?.issues.map(({ path }) => path),
    [[0, 'keys', 0]],
  );
});

test('guards against one problem for each value of a record', (t) => {
  const wrong = Object.fromEntries(
    Array.from({ length: 1000 }, (_, index) => [`field-${String(index)}`, index]),
  );
  const { error } = createRecordSchema(z.string()).safeParse(wrong);
  t.deepEqual(
    error?.issues.map(({ path }) => path),
    [['field-0']],
  );
});

test('guards against lists and records that are read differently than by zod', (t) => {
  const values = [
    [],
    ['a'],
    ['a', 'b'],
    ['a', 1],
    [undefined],
    {},
    { a: 'b' },
    { a: 1 },
    'a',
    1,
    null,
    undefined,
  ];
  const pairs = [
    [z.array(z.string()), createListSchema(z.string())],
    [z.record(z.string(), z.string()), createRecordSchema(z.string())],
    [
      z.array(z.string()).optional().catch(undefined),
      createListSchema(z.string()).optional().catch(undefined),
    ],
  ] as const;
  for (const [expected, actual] of pairs)
    for (const value of values) {
      const text = JSON.stringify(value);
      t.deepEqual(actual.safeParse(value).data, expected.safeParse(value).data, text);
    }
});
