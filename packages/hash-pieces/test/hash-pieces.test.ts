import test from 'ava';
import fc from 'fast-check';
import { computeScope, hashPieces } from '@laburnumshift/hash-pieces';

// Guards against two accounts sharing cache pieces of the same text.
test('chains differ between accounts', (t) => {
  fc.assert(
    fc.property(fc.string({ minLength: 1 }), (text) => {
      t.notDeepEqual(hashPieces('a', text, 2), hashPieces('b', text, 2));
    }),
    { seed: 1 },
  );
});

// Guards against a later piece matching when the text before it differs.
test('chains cover the text before', (t) => {
  const one = hashPieces('a', 'AAAABBBB', 1);
  const two = hashPieces('a', 'CCCCBBBB', 1);
  t.not(one[1]?.chain, two[1]?.chain);
  t.is(hashPieces('a', 'AAAAXXXX', 1)[0]?.chain, one[0]?.chain);
});

// Guards against reuse across weight versions, and against ambiguous joins of the parts.
test('scopes separate versions and adapters', (t) => {
  const scopes = [
    computeScope('a', 'm', undefined, '1'),
    computeScope('a', 'm', undefined, '2'),
    computeScope('a', 'm', '', '1'),
    computeScope('am', '', undefined, '1'),
  ];
  t.is(new Set(scopes).size, scopes.length);
});
