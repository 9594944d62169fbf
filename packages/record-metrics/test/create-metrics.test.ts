import test from 'ava';
import { createMetrics } from '@laburnumshift/record-metrics';

// Guards against a wrong unit or a lost label in the text that operators' collectors read.
test('renders counters, gauges and quantiles', (t) => {
  const metrics = createMetrics();
  metrics.countEvent('runs_total', { service: 'chat' });
  metrics.countEvent('runs_total', { service: 'chat' }, 2);
  metrics.setGauge('members', () => 4);
  for (let i = 1; i <= 100; i += 1) metrics.recordMs('first_token_ms', i);
  const text = metrics.renderMetrics();
  t.true(text.includes('runs_total{service="chat"} 3\n'));
  t.true(text.includes('members 4\n'));
  t.is(Math.round(metrics.getPercentile('first_token_ms', 50) ?? 0), 50);
  t.true(text.includes('first_token_ms_count 100\n'));
});
