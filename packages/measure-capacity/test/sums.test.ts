import test from 'ava';
import { computeLine, computeSums } from '@laburnumshift/measure-capacity';

// Guards against a wrong slope, which would scale every figure of the capacity page.
test('a line through exact points has their slope and no error', (t) => {
  const line = computeLine([2, 8, 32].map((x) => ({ x, y: 5 + 3 * x })));
  t.true(Math.abs(line.slope - 3) < 1e-9);
  t.true(Math.abs(line.intercept - 5) < 1e-9);
  t.true(line.error < 1e-9);
});

// Guards against a bent curve that looks like a line: the error must show it.
test('the error is the largest distance as a share of the largest value', (t) => {
  const line = computeLine([
    { x: 0, y: 0 },
    { x: 1, y: 0 },
    { x: 2, y: 4 },
  ]);
  t.true(Math.abs(line.slope - 2) < 1e-9);
  t.true(Math.abs(line.error - 1 / 3) < 1e-9);
});

// Guards against a division by zero when only one size was measured.
test('a single point gives a constant', (t) => {
  t.deepEqual(computeLine([{ x: 1, y: 7 }]), { slope: 0, intercept: 7, error: 0 });
});

// Guards against duties that are listed but left out of the sums on the page.
test('the sums are those of the duties', (t) => {
  const scenarios = computeSums(() => 10);
  t.deepEqual(Object.keys(scenarios), ['target', 'today']);
  for (const { duties, control, request, platform } of Object.values(scenarios)) {
    const bytes = duties.reduce((sum, { mean }) => sum + mean.bytes, 0);
    const cores = duties.reduce((sum, { most }) => sum + most.core, 0);
    const reads = duties.reduce((sum, duty) => sum + (duty.platform?.reads ?? 0), 0);
    t.true(Math.abs(control.mean.bytes + request.mean.bytes - bytes) < 1e-6 * bytes);
    t.true(Math.abs(control.most.core + request.most.core - cores) < 1e-6 * cores);
    t.is(platform.reads, reads);
  }
});
