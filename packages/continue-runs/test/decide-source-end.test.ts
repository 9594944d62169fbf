import { decideSourceEnd, type SourceEvidence } from '@laburnumshift/continue-runs';
import test from 'ava';

const CASES: readonly (readonly [
  name: string,
  evidence: readonly SourceEvidence[],
  changes: { readonly elapsedMs?: number; readonly isUnregistered?: boolean },
  verdict: ReturnType<typeof decideSourceEnd>,
])[] = [
  ['an engine whose process is gone is not waited for', ['refused'], {}, 'ended'],
  ['an engine that was restarted is not waited for', ['silent', 'replaced'], {}, 'ended'],
  ['one late answer of an ending process does not give up its run', ['alive'], {}, 'ask-again'],
  ['a run is not taken from an engine that is alive', ['alive', 'alive'], {}, 'not-ended'],
  [
    'a run is not taken from an engine that is silent for a while',
    ['silent', 'silent', 'silent'],
    { elapsedMs: 1700 },
    'ask-again',
  ],
  [
    'a registered engine that stays silent is not taken for ended',
    ['silent', 'silent', 'silent', 'silent'],
    { elapsedMs: 1900 },
    'not-ended',
  ],
  [
    'an unreachable engine without a registration does not keep its run',
    ['silent', 'silent', 'silent'],
    { elapsedMs: 1700, isUnregistered: true },
    'ended',
  ],
  [
    'an unregistered engine that answers keeps its run',
    ['silent', 'alive', 'alive'],
    { elapsedMs: 1700, isUnregistered: true },
    'not-ended',
  ],
];
for (const [name, evidence, changes, verdict] of CASES) {
  test(name, (t) => {
    const input = { evidence, elapsedMs: 300, isUnregistered: false, boundMs: 1800, ...changes };
    t.is(decideSourceEnd(input), verdict);
  });
}
