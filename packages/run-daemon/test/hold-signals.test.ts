import { holdSignals, type DaemonSignal } from '@laburnumshift/run-daemon';
import test from 'ava';

test('guards against signals that end the process, or are forgotten, before they have a handler', (t) => {
  const signals = holdSignals();
  const seen: DaemonSignal[] = [];
  process.emit('SIGHUP');
  process.emit('SIGTERM');
  signals.setHandler((signal) => seen.push(signal));
  process.emit('SIGTERM');
  t.deepEqual(seen, ['SIGHUP', 'SIGTERM', 'SIGTERM']);
  signals.release();
});
