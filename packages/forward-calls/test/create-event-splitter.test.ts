import { createEventSplitter } from '@laburnumshift/forward-calls';
import fc from 'fast-check';
import test from 'ava';

test('chunk boundaries never cause an event to be lost, repeated, reordered or returned incomplete', (t) => {
  t.notThrows(() => {
    const eventTexts = fc.array(
      fc.constantFrom('data: a', 'id: 7\ndata: b', 'id:8\r\ndata: c', ': note\ndata: d'),
      {
        minLength: 1,
        maxLength: 20,
      },
    );
    fc.assert(
      fc.property(eventTexts, fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }), (events, sizes) => {
        const stream = events
          .map((event, index) => `${event}${index % 2 === 0 ? '\n\n' : '\r\n\r\n'}`)
          .join('');
        const splitter = createEventSplitter();
        let output = '';
        for (let at = 0, turn = 0; at < stream.length; turn += 1) {
          const size = sizes[turn % sizes.length] ?? 1;
          const part = splitter.addBytes(Buffer.from(stream.slice(at, at + size)))?.toString() ?? '';
          if (part !== '' && !/\n\r?\n$/.test(part)) return false;
          output += part;
          at += size;
        }
        return output === stream && splitter.getPartialEvent().length === 0;
      }),
      { seed: 3 },
    );
  });
});

test('the id of an incomplete event is not reported as the last id', (t) => {
  const splitter = createEventSplitter();
  splitter.addBytes(Buffer.from('id: 1\ndata: x\n\nid: 2\ndata: y'));
  t.is(splitter.getLastEventId(), '1');
  t.true(splitter.getPartialEvent().length > 0);
  splitter.clearPartialEvent();
  t.is(splitter.getPartialEvent().length, 0);
});
