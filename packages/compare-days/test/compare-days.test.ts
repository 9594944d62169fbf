import { compareDays, decodeEntry, renderFinding, type DayResult } from '@laburnumshift/compare-days';
import test from 'ava';

const KEPT = { site: 's', day: 'd', worth: 0.7, commit: 'aaaaaaa' };
const PLAYED: DayResult = {
  ...KEPT,
  commit: 'bbbbbbb',
  seed: 7,
  brokenRules: [],
  fault: undefined,
};
const render = (changes: Partial<DayResult>): string[] =>
  compareDays([KEPT], [KEPT], [{ ...PLAYED, ...changes }]).map(renderFinding);

test('guards against a decrease within the noise that is reported', (t) => {
  t.deepEqual(render({ worth: 0.671 }), []);
  t.deepEqual(render({ worth: 0.9 }), []);
});

test('guards against a decrease reported without both figures and the commit of the baseline', (t) => {
  t.deepEqual(render({ worth: 0.6 }), ['s d (seed 7): fell from 0.700 (aaaaaaa) to 0.600']);
});

test('guards against broken rules and faults hidden by a high worth', (t) => {
  t.deepEqual(render({ worth: 0.9, brokenRules: ['BUDGET', 'LOST'], fault: 'too slow' }), [
    's d (seed 7): broken rules: BUDGET, LOST',
    's d (seed 7): too slow',
  ]);
});

test('guards against a missing result that is not reported, and against a finding for a day without a baseline', (t) => {
  t.deepEqual(compareDays([KEPT], [KEPT], []).map(renderFinding), ['s d: was not played']);
  t.deepEqual(compareDays([KEPT], [], [PLAYED]), []);
});

test('guards against results taken from the entry of a run that has not ended', (t) => {
  const entry = { site: 's', head: 'bbbbbbb', at: ['begin', ''], days: [] };
  t.throws(() => decodeEntry(JSON.stringify(entry)), { message: /the run has not ended/ });
  t.deepEqual(decodeEntry(JSON.stringify({ ...entry, at: ['begin', 'end'] })), []);
});
