import { estimateJsonBytes } from '@laburnumshift/collect-bytes';
import test from 'ava';

const estimate = (text: string): number => estimateJsonBytes(Buffer.from(text));

test('guards against empty objects and arrays that count by their bytes', (t) => {
  t.true(estimate('[{},{},{}]') >= 4 * 64);
  t.true(estimate('[[],[],[]]') >= 4 * 40);
  t.true(estimate('[[1],[1]]') >= 3 * 64);
});

test('guards against text that counts as objects because of its characters', (t) => {
  for (const text of ['{{{{{{{{', '[[[[[[[[', ',,,,,,,,', '\\\\', 'a\\"{{{{{{{{', '"'])
    t.true(estimate(JSON.stringify(text)) <= 2 * text.length + 2, text);
});

test('guards against an estimate that fails for an incomplete text', (t) => {
  for (const text of ['', '"', '"\\', '{"a', '[', '[1,'])
    t.notThrows(() => {
      estimate(text);
    }, text);
});
