import test from 'ava';
import { isHomeReady } from '../src/is-home-ready.js';

const READY = {
  isComplete: true,
  isRelay: true,
  engines: 16,
  readEngines: 16,
  homeDurationMs: 5000,
  settleMs: 900,
};

test('a relay that reads its engines and has the load of its hosts does not refuse to place calls', (t) => {
  t.true(isHomeReady(READY));
  t.true(
    isHomeReady({ ...READY, homeDurationMs: undefined }),
    'the second relay also places calls when hosts ask it to',
  );
});

test('a host that is no relay, has an incomplete view of the fleet or has just become the home host does not place the calls of others', (t) => {
  t.false(isHomeReady({ ...READY, isRelay: false }));
  t.false(isHomeReady({ ...READY, isComplete: false }));
  t.false(isHomeReady({ ...READY, homeDurationMs: 800 }));
  t.false(isHomeReady({ ...READY, readEngines: 3, homeDurationMs: 1000 }));
});

test('engines whose events cannot be read do not block a home host from placing calls for ever', (t) => {
  t.true(isHomeReady({ ...READY, readEngines: 3, homeDurationMs: 3000 }));
});
