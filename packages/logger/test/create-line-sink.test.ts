import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createLineSink } from '@laburnumshift/logger';
import test from 'ava';

test('lines beyond the buffer limit are dropped and counted', (t) => {
  const directory = mkdtempSync(join(tmpdir(), 'sink-'));
  const file = join(directory, 'log');
  const descriptor = openSync(file, 'w');
  t.teardown(() => {
    closeSync(descriptor);
    rmSync(directory, { recursive: true });
  });
  const sink = createLineSink(descriptor);
  const line = `${'x'.repeat(100_000)}\n`;
  for (let count = 0; count < 15; count += 1) sink.write(line);
  sink.flush();
  const lines = readFileSync(file, 'utf8').trimEnd().split('\n');
  t.is(lines.length, 11);
  t.like(JSON.parse(lines[10] ?? '{}'), { dropped: 5 });
});
