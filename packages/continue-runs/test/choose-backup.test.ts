import { chooseBackup, type BackupCandidate, type BackupInput } from '@laburnumshift/continue-runs';
import test from 'ava';

const CANDIDATE: BackupCandidate = {
  id: 'b',
  machine: '10.0.0.2',
  failureDomain: 'north',
  version: 1,
  heldTokens: 1000,
  isAtRisk: false,
  copies: 0,
};
const INPUT: BackupInput = {
  run: {
    isStream: true,
    isRepeatable: false,
    engineLifeMs: 600_000,
    isSourceAtRisk: false,
    expectedRunMs: 2000,
    remainingMs: 10_000,
    outputTokens: 60,
    copies: 0,
  },
  tokens: 900,
  source: { id: 'a', machine: '10.0.0.1', failureDomain: 'north' },
  version: 1,
  capacityTokens: 120_825,
  bytesPerToken: 163_840,
  linkMbps: 370_000,
  candidates: [CANDIDATE],
};
const chooseFor = (run: Partial<BackupInput['run']>, changes: Partial<BackupInput> = {}) =>
  chooseBackup({ ...INPUT, ...changes, run: { ...INPUT.run, ...run } })?.id;
const chooseAmong = (...changes: Partial<BackupCandidate>[]) =>
  chooseFor({}, { candidates: changes.map((change) => ({ ...CANDIDATE, ...change })) });

test('a long run that cannot be sent again is not left without a copy', (t) => {
  t.is(chooseFor({}), 'b');
});

// Copies displace cached prompts: on a deployment whose engines rarely end, 60% more prompt tokens of shared pieces were read again.
test('a run gets no copy where engines are not stated to end often, unless its engine is at risk', (t) => {
  t.is(chooseFor({ engineLifeMs: undefined }), undefined);
  t.is(chooseFor({ engineLifeMs: undefined, isSourceAtRisk: true }), 'b');
});

test('runs that lose little do not take up links and memory for copies', (t) => {
  t.is(chooseFor({ expectedRunMs: 500 }), undefined);
  t.is(chooseFor({ outputTokens: 3 }), undefined);
  t.is(chooseFor({ isStream: false }), undefined);
  t.is(chooseFor({ remainingMs: 300 }), undefined);
  t.is(chooseFor({ isRepeatable: true }), undefined);
  t.is(chooseFor({ isRepeatable: true, isSourceAtRisk: true }), 'b');
});

test('a copy that costs more than the expected loss is not made, unless the engine is at risk', (t) => {
  t.is(chooseFor({}, { tokens: 12_000 }), undefined);
  t.is(chooseFor({ isSourceAtRisk: true }, { tokens: 12_000 }), 'b');
});

test('an engine that cannot hold the copy, or that would be lost with the source, gets none', (t) => {
  t.is(chooseAmong({ id: 'a' }), undefined);
  t.is(chooseAmong({ machine: '10.0.0.1' }), undefined);
  t.is(chooseAmong({ version: 2 }), undefined);
  t.is(chooseAmong({ isAtRisk: true }), undefined);
  t.is(chooseAmong({ heldTokens: 60_000 }), undefined);
  t.is(chooseAmong({ copies: 2 }), undefined);
});

test('a transfer does not cross failure domains while an engine of the same one is free', (t) => {
  t.is(chooseAmong({ id: 'far', failureDomain: 'south', heldTokens: 0 }, { id: 'near' }), 'near');
});

test('the number of copies of one host does not grow without bound', (t) => {
  t.is(chooseFor({ copies: 32 }), undefined);
});

test('an unknown or invalid link gets no transfers', (t) => {
  t.is(chooseFor({}, { linkMbps: 0 }), undefined);
  t.is(chooseFor({}, { linkMbps: NaN }), undefined);
});
