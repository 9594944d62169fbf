import { findCulprits, type Suspect } from '@laburnumshift/quarantine-pieces';
import test from 'ava';

/** Builds a suspect whose crashes, one a second, are given by name; `clearedAtS` seconds. */
const buildSuspect = (trait: string, position: number, crashes: string, clearedAtS = -Infinity): Suspect => ({
  trait,
  position,
  crashes: Array.from(crashes, (server) => ({
    server,
    bornMs: 1,
    atMs: 1000 * (server.charCodeAt(0) - 'a'.charCodeAt(0) + 1),
  })),
  clearedAtMs: clearedAtS * 1000,
  trialAtMs: -Infinity,
});
const CASES: Readonly<Record<string, readonly [suspects: readonly Suspect[], culprits: readonly string[]]>> =
  {
    'a piece on a single crashed engine': [[buildSuspect('d', 1, 'a')], []],
    'a piece on two crashed engines': [[buildSuspect('d', 1, 'ab')], ['d']],
    'a piece that was served after the first of two crashes': [[buildSuspect('d', 1, 'ab', 1.5)], []],
    'the first pieces of the deadly calls': [
      [buildSuspect('first', 0, 'abc'), buildSuspect('second', 1, 'abc'), buildSuspect('d', 2, 'abc')],
      ['d'],
    ],
    'the deadly piece before one that served calls have': [
      [buildSuspect('d', 1, 'abc'), buildSuspect('e', 2, 'abc', 0.5)],
      ['d'],
    ],
    'the last piece of a call that was sent again': [
      [buildSuspect('d', 1, 'ab'), buildSuspect('request', -1, 'ab')],
      ['d'],
    ],
    'a waiting call beside two deadly ones': [
      [buildSuspect('d', 2, 'abc'), buildSuspect('x', 1, 'ab')],
      ['d'],
    ],
    'two deadly pieces and the piece before both': [
      [buildSuspect('first', 0, 'abcd'), buildSuspect('d', 2, 'ac'), buildSuspect('e', 2, 'bd')],
      ['d', 'e'],
    ],
    'a deadly piece before ever different ones': [
      [
        buildSuspect('d', 0, 'abc'),
        buildSuspect('x', 1, 'a'),
        buildSuspect('y', 1, 'b'),
        buildSuspect('z', 1, 'c'),
      ],
      ['d'],
    ],
  };

for (const [name, [suspects, culprits]] of Object.entries(CASES))
  test(`guards against blaming the wrong piece: ${name}`, (t) => {
    t.deepEqual([...findCulprits(suspects).keys()], culprits);
  });

test('guards against taking engines that lose power together for two crashes of one piece', (t) => {
  const crashes = ['a', 'b', 'c'].map((server, index) => ({ server, bornMs: 1, atMs: 1000 + index * 50 }));
  t.is(findCulprits([{ ...buildSuspect('d', 1, ''), crashes }]).size, 0);
});
