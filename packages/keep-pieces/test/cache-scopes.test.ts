import { buildCacheScope, computeCacheOwner, parseCacheScope } from '@laburnumshift/keep-pieces';
import fc from 'fast-check';
import test from 'ava';

const NAMES = ['anna', 'berta', 'carla', 'shared'];
/** Owner for an account of a configuration in which all of `NAMES`, but for those in `removed`, are accounts. */
const getOwner = (
  name: string | undefined,
  isolated: readonly string[],
  removed: readonly string[] = [],
): string =>
  computeCacheOwner(
    name === undefined ? undefined : { name, isIsolated: isolated.includes(name) },
    new Set(NAMES.filter((other) => !isolated.includes(other) && !removed.includes(other))),
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

// Engines and stores keep the pieces of an account for as long as its weights are in use, also when it is isolated or removed meanwhile.
// A restored store may bring back any earlier configuration, so every order of configurations is a possible history.
test('guards against pieces of an account whose last state is isolated, whatever was isolated, removed or restored before', (t) => {
  const some = fc.uniqueArray(fc.constantFrom(...NAMES));
  t.notThrows(() => {
    fc.assert(
      fc.property(
        fc.array(fc.record({ isolated: some, removed: some }), { minLength: 1, maxLength: 8 }),
        (history) => {
          const makers = new Map<string, Set<string>>();
          const isolatedLast = new Set<string>();
          for (const { isolated, removed } of history) {
            const present = NAMES.filter((name) => !removed.includes(name));
            for (const name of present)
              if (isolated.includes(name)) isolatedLast.add(name);
              else isolatedLast.delete(name);
            for (const user of present) {
              const scope = buildCacheScope(getOwner(user, isolated, removed), 'm', 1);
              const known = makers.get(scope) ?? new Set();
              makers.set(scope, known.add(user));
              for (const maker of known)
                if (maker !== user && (isolatedLast.has(maker) || isolatedLast.has(user))) return false;
            }
          }
          return true;
        },
      ),
      { seed: 5 },
    );
  });
});

test('hosts name the same owner whatever the order of the accounts, and share pieces again when no account is isolated', (t) => {
  const owner = computeCacheOwner(undefined, new Set(['berta', 'anna']));
  t.is(computeCacheOwner({ name: 'anna', isIsolated: false }, new Set(['anna', 'berta'])), owner);
  t.not(getOwner('carla', ['anna']), getOwner('carla', ['berta']));
  t.is(getOwner('anna', []), getOwner(undefined, []));
});

test('a call that arrived before its account was isolated or removed, or after, uses the pieces of the account alone', (t) => {
  const own = getOwner('anna', ['anna']);
  t.is(computeCacheOwner({ name: 'anna', isIsolated: false }, new Set(['berta'])), own);
  t.is(computeCacheOwner({ name: 'anna', isIsolated: true }, new Set(['anna'])), own);
});
