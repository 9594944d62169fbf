import vm from 'node:vm';
import { createByteBudget, type ByteReservation } from '@laburnumshift/collect-bytes';
import { createEventSplitter } from '@laburnumshift/forward-calls';
import fc from 'fast-check';
import test from 'ava';

const openReservation = (): ByteReservation => createByteBudget(1_000_000).openReservation();

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
        const splitter = createEventSplitter(openReservation());
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
  const splitter = createEventSplitter(openReservation());
  splitter.addBytes(Buffer.from('id: 1\ndata: x\n\nid: 2\ndata: y'));
  t.is(splitter.getLastEventId(), '1');
  t.true(splitter.getPartialEvent().length > 0);
  splitter.clearPartialEvent();
  t.is(splitter.getPartialEvent().length, 0);
});

// Guards against a pattern that backtracks without end on foreign bytes and stops the event loop for good.
test('wrong bytes of any kind in a resumed stream are examined in linear time', (t) => {
  const foreign = [`${':'.repeat(64)}\nx`, `: ${'\r'.repeat(2000)}\nx`, `${':\n'.repeat(2000)}x`];
  for (const text of foreign) {
    const splitter = createEventSplitter(openReservation());
    splitter.addBytes(Buffer.from('id: 1\ndata: a\n\n'));
    // The limit of `vm` interrupts a pattern, which no timeout of the test runner does.
    const addBytes = (): unknown => splitter.addBytes(Buffer.from(`${text}\n\n`), true);
    t.is(vm.runInNewContext('addBytes()', { addBytes }, { timeout: 10_000 }), 'foreign');
  }
});

test('comments and empty lines between the events of a resumed stream belong to it', (t) => {
  const splitter = createEventSplitter(openReservation());
  splitter.addBytes(Buffer.from('id: 1\ndata: a\n\n'));
  const resumed = `${':'.repeat(64)}\n: b\r\n\n\r\n:c\nid: 2\ndata: b\n\n`;
  t.is(splitter.addBytes(Buffer.from(resumed), true)?.toString(), resumed);
  t.is(splitter.getLastEventId(), '2');
});

// Each chunk of an event was an object on the heap, so many chunks of one byte took a hundred times their size.
test('an event in too many small chunks, too long or beyond the memory for events is not kept', (t) => {
  const budget = createByteBudget(400_000);
  for (const [chunkBytes, fault] of [
    [1, 'the bytes come in too small chunks'],
    [1000, 'the bytes exceed the size limit'],
  ] as const) {
    const splitter = createEventSplitter(budget.openReservation());
    for (let sent = 0; sent < 300_000; sent += chunkBytes) splitter.addBytes(Buffer.alloc(chunkBytes, 'x'));
    t.is(splitter.getFault(), fault);
    splitter.clearPartialEvent();
    t.is(splitter.getFault(), undefined);
    t.is(budget.countReserved(), 0);
  }
  const splitters = [1, 2].map(() => createEventSplitter(budget.openReservation()));
  for (const splitter of splitters) splitter.addBytes(Buffer.alloc(250_000, 'x'));
  t.deepEqual(
    splitters.map((splitter) => splitter.getFault()),
    [undefined, 'the memory for such bytes is used up'],
  );
});
