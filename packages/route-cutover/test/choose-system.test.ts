import test from 'ava';
import fc from 'fast-check';
import { chooseSystem } from '@laburnumshift/route-cutover';

// Guards against conversations that move to the older system when the share falls, or away from it when the share rises.
test('a higher share moves conversations only to the older system', (t) => {
  const share = fc.double({ min: 0, max: 1, noNaN: true });
  fc.assert(
    fc.property(fc.string(), fc.string(), share, share, (account, conversation, a, b) => {
      const low = chooseSystem(account, conversation, Math.min(a, b));
      const high = chooseSystem(account, conversation, Math.max(a, b));
      return low === high || (low === 'own' && high === 'older');
    }),
    { seed: 41, numRuns: 2000 },
  );
  t.is(chooseSystem('a', 'b', 0), 'own');
  t.is(chooseSystem('a', 'b', 1), 'older');
});

// Guards against a split that deviates from the share, and against a hash that changes between releases.
test('the split is close to the share, and each conversation keeps its system between releases', (t) => {
  const all = Array.from({ length: 10_000 }, (_, i) => chooseSystem('desk', `c${String(i)}`, 0.3));
  const older = all.filter((system) => system === 'older').length;
  t.true(Math.abs(older - 3000) < 200, String(older));
  t.deepEqual(all.slice(0, 6), ['own', 'own', 'older', 'own', 'older', 'own']);
});
