import { createEventSplitter } from '@laburnumshift/forward-calls';
import fc from 'fast-check';
import test from 'ava';

test('however the bytes are cut, only complete events come out, each once and in order', (t) => {
  t.notThrows(() => {
    const texts = fc.array(
      fc.constantFrom('data: a', 'id: 7\ndata: b', 'id:8\r\ndata: c', ': note\ndata: d'),
      {
        minLength: 1,
        maxLength: 20,
      },
    );
    fc.assert(
      fc.property(texts, fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }), (events, sizes) => {
        const stream = events
          .map((event, index) => `${event}${index % 2 === 0 ? '\n\n' : '\r\n\r\n'}`)
          .join('');
        const splitter = createEventSplitter();
        let out = '';
        for (let at = 0, turn = 0; at < stream.length; turn += 1) {
          const size = sizes[turn % sizes.length] ?? 1;
          const part = splitter.addBytes(Buffer.from(stream.slice(at, at + size)))?.toString() ?? '';
          if (part !== '' && !/\n\r?\n$/.test(part)) return false;
          out += part;
          at += size;
        }
        return out === stream && splitter.getRest().length === 0;
      }),
      { seed: 3 },
    );
  });
});

test('the last id is that of a complete event', (t) => {
  const splitter = createEventSplitter();
  splitter.addBytes(Buffer.from('id: 1\ndata: x\n\nid: 2\ndata: y'));
  t.is(splitter.getLastId(), '1');
  t.true(splitter.getRest().length > 0);
  splitter.clearRest();
  t.is(splitter.getRest().length, 0);
});
