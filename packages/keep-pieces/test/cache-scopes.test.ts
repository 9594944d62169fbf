import { buildCacheScope, computeCacheOwner, parseCacheScope } from '@laburnumshift/keep-pieces';
import fc from 'fast-check';
import test from 'ava';

const NAMES = ['anna', 'berta', 'carla', 'shared'];
const getOwner = (name: string | undefined, isolated: readonly string[]): string =>
  computeCacheOwner(
    name === undefined ? undefined : { name, isIsolated: isolated.includes(name) },
    new Set(isolated),
  );

test('an isolated account and another weight version get their own cache scopes', (t) => {
  const scopes = [
    buildCacheScope(getOwner(undefined, []), 'm', 1),
    buildCacheScope(getOwner('berta', []), 'm', 1),
    buildCacheScope(getOwner('anna', ['anna']), 'm', 1),
    buildCacheScope(getOwner('shared', ['shared']), 'm', 1),
    buildCacheScope(getOwner(undefined, []), 'm', 2),
  ];
  t.is(scopes[0], scopes[1]);
  t.is(new Set(scopes).size, 4);
  t.deepEqual(parseCacheScope(scopes[4] ?? ''), { model: 'm', version: 2 });
  t.is(parseCacheScope('of another system'), undefined);
});

// Engines and stores keep the pieces of an account for as long as its weights are in use, also when it is isolated meanwhile.
test('guards against pieces of another account while one of the two is isolated, whatever was isolated before', (t) => {
  const isolated = fc.uniqueArray(fc.constantFrom(...NAMES));
  t.notThrows(() => {
    fc.assert(
      fc.property(fc.array(isolated, { minLength: 1, maxLength: 8 }), (history) => {
        const makers = new Map<string, Set<string>>();
        for (const now of history)
          for (const user of NAMES) {
            const scope = buildCacheScope(getOwner(user, now), 'm', 1);
            const known = makers.get(scope) ?? new Set();
            makers.set(scope, known.add(user));
            for (const maker of known)
              if (maker !== user && (now.includes(maker) || now.includes(user))) return false;
          }
        return true;
      }),
      { seed: 5 },
    );
  });
});

test('hosts name the same owner whatever the order of the accounts, and share pieces again when no account is isolated', (t) => {
  t.is(getOwner('carla', ['anna', 'berta']), getOwner(undefined, ['berta', 'anna']));
  t.not(getOwner('carla', ['anna']), getOwner('carla', ['berta']));
  t.is(getOwner('anna', []), getOwner(undefined, []));
});

test('a call that arrived before its account was isolated, or after, uses the pieces of the account alone', (t) => {
  const own = getOwner('anna', ['anna']);
  t.is(computeCacheOwner({ name: 'anna', isIsolated: false }, new Set(['anna'])), own);
  t.is(computeCacheOwner({ name: 'anna', isIsolated: true }, new Set()), own);
});
