import { chooseMoveTarget, hasUniformMemory, type RunWeightsEvidence } from '@laburnumshift/continue-runs';
import test from 'ava';

const REPORT = { version: 1, isExecutingOrder: false };
const CASES: readonly (readonly [name: string, changes: Partial<RunWeightsEvidence>, isUniform: boolean])[] =
  [
    ['memory is used when the report names the weights of the run', {}, true],
    ['memory of an unknown version is not used', { version: undefined }, false],
    ['memory is not used after another version was named', { hasOtherVersion: true }, false],
    ['memory is not used when the report names other weights', { report: { ...REPORT, version: 2 } }, false],
    [
      'memory is not used while an order is in progress',
      { report: { ...REPORT, isExecutingOrder: true } },
      false,
    ],
    ['memory is used without a report while no newer weights are published', { report: undefined }, true],
    [
      'memory is not used without a report once newer weights are published',
      { report: undefined, publishedVersion: 2 },
      false,
    ],
    [
      'memory is not used without a report when the published weights are not known',
      { report: undefined, publishedVersion: undefined },
      false,
    ],
  ];
// Guards against memory of two weight versions, or of an unknown one, at another engine (STALE).
for (const [name, changes, isUniform] of CASES)
  test(name, (t) => {
    const evidence = { version: 1, hasOtherVersion: false, report: REPORT, publishedVersion: 1, ...changes };
    t.is(hasUniformMemory(evidence), isUniform);
  });

test('a run of an unknown version is not moved to an engine of an unknown version', (t) => {
  const engine = { failureDomain: 'north', version: undefined, heldTokens: 0, isAtRisk: false, copies: 0 };
  const target = chooseMoveTarget(
    {
      tokens: 10,
      source: { id: 'engine-1', machine: '10.0.0.1', failureDomain: 'north' },
      version: undefined,
      capacityTokens: 1000,
      bytesPerToken: 1,
      linkMbps: 1000,
      candidates: [{ ...engine, id: 'engine-2', machine: '10.0.0.2' }],
    },
    1000,
  );
  t.is(target, undefined);
});
