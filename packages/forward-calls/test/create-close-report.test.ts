import type { Logger } from '@laburnumshift/logger';
import type { Metrics } from '@laburnumshift/record-metrics';
import { installClock } from '@laburnumshift/test-utils';
import test from 'ava';
import { createCloseReport } from '../src/create-close-report.js';

test.serial('guards against a log line for each of thousands of closed connections', (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const lines: unknown[] = [];
  let counted = 0;
  const report = createCloseReport(
    { addToCounter: () => (counted += 1) } as unknown as Metrics,
    { warn: (_text: string, fields: unknown) => lines.push(fields) } as unknown as Logger,
  );
  for (let index = 0; index < 1000; index += 1) report.recordClose('no room');
  report.recordRefusal();
  clock.tick(1001);
  report.recordRefusal();
  t.is(counted, 1000);
  t.deepEqual(lines, [{ counts: { 'no room': 1 } }, { counts: { 'no room': 999, 'call refused': 2 } }]);
});
