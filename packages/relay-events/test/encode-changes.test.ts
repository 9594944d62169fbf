import fc from 'fast-check';
import test from 'ava';
import { decodeChanges } from '../src/decode-changes.js';
import { encodeChanges } from '../src/encode-changes.js';

const EVENT = fc.record({
  isAdded: fc.boolean(),
  scope: fc.constantFrom('m/1/shared', 'm/2/shared', 'm/1/account-a'),
  piece: fc.stringMatching(/^[0-9a-f]{1,12}$/),
  tokens: fc.nat(),
});
const CHANGE = fc.record({
  engine: fc.string(),
  bootId: fc.string(),
  isCleared: fc.boolean(),
  events: fc.array(EVENT),
});

test('encoded changes decode to the same changes', (t) => {
  fc.assert(
    fc.property(fc.array(CHANGE), (changes) => {
      t.deepEqual(decodeChanges(encodeChanges(changes)), changes);
    }),
    { seed: 11, numRuns: 200 },
  );
});

test('columns of different lengths and unknown scope indexes are rejected', (t) => {
  t.is(decodeChanges({ scopes: ['s'], changes: [['e', 'b', false, [1], 'x\ny', [1]]] }), undefined);
  t.is(decodeChanges({ scopes: ['s'], changes: [['e', 'b', false, [1], 'x', []]] }), undefined);
  t.is(decodeChanges({ scopes: ['s'], changes: [['e', 'b', false, [2], 'x', [1]]] }), undefined);
});
