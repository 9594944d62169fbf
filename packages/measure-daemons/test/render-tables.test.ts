import test from 'ava';
import { renderTables } from '../src/render-tables.js';

// Guards against a missed target that the page shows as met, or as a number.
test('a figure that was not reached is shown as missed', (t) => {
  const target = { target: 'gone, ms', limit: 3_000, measured: Infinity, met: false };
  const result = { command: 'c', scenario: 's', seed: 1, commit: 'abc', figures: { targets: [target] } };
  const parsed = JSON.parse(JSON.stringify(result)) as typeof result;
  t.true(renderTables([parsed]).includes('| gone, ms | at most 3000 | not reached | **not met** |'));
});
