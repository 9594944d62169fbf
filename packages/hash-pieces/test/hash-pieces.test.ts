import test from 'ava';
import fc from 'fast-check';
import { computeCacheScope, hashPieces } from '@laburnumshift/hash-pieces';

test('guards against accounts that share the cache pieces of the same text', (t) => {
  fc.assert(
    fc.property(fc.string({ minLength: 1 }), (text) => {
      t.notDeepEqual(hashPieces('a', text, 2), hashPieces('b', text, 2));
    }),
    { seed: 1 },
  );
});

test('guards against a piece that matches although the text before it differs', (t) => {
  const one = hashPieces('a', 'AAAABBBB', 1);
  const two = hashPieces('a', 'CCCCBBBB', 1);
  t.not(one[1]?.chain, two[1]?.chain);
  t.is(hashPieces('a', 'AAAAXXXX', 1)[0]?.chain, one[0]?.chain);
});

test('guards against equal scopes for different weight versions, adapters or splits of the same characters', (t) => {
  const scopes = [
    computeCacheScope('a', 'm', undefined, '1'),
    computeCacheScope('a', 'm', undefined, '2'),
    computeCacheScope('a', 'm', '', '1'),
    computeCacheScope('am', '', undefined, '1'),
  ];
  t.is(new Set(scopes).size, scopes.length);
});
