import test from 'ava';
import { createMetrics } from '@laburnumshift/record-metrics';

// Guards against a wrong unit or a lost label in the text that metrics collectors read.
test('counters, gauges and histograms are rendered with their labels and units', (t) => {
  const metrics = createMetrics();
  metrics.addToCounter('runs_total', { service: 'chat' });
  metrics.addToCounter('runs_total', { service: 'chat' }, 2);
  metrics.registerGauge('members', () => 4);
  for (let i = 1; i <= 100; i += 1) metrics.recordDuration('first_token_ms', i);
  const text = metrics.renderMetrics();
  t.true(text.includes('runs_total{service="chat"} 3\n'));
  t.true(text.includes('members 4\n'));
  t.is(Math.round(metrics.getPercentile('first_token_ms', 50) ?? 0), 50);
  t.true(text.includes('first_token_ms_count 100\n'));
});

test('the number of series per name is bounded, and a gauge group renders values added after its registration', (t) => {
  const metrics = createMetrics();
  const counts: Record<string, number> = {};
  metrics.registerGaugeGroup('links', () => counts);
  counts.opened = 2;
  for (let i = 0; i < 1_000; i += 1) {
    metrics.addToCounter('calls_total', { service: `s${String(i)}` });
    metrics.recordDuration('call_ms', 1, { service: `s${String(i)}` });
  }
  metrics.addToCounter('calls_total', { service: 's1' });
  const text = metrics.renderMetrics();
  t.true(text.includes('links{kind="opened"} 2\n'));
  t.true(text.includes('calls_total{service="s1"} 2\n'));
  t.is(text.match(/^calls_total/gm)?.length, 500);
  t.is(text.match(/^call_ms_count/gm)?.length, 100);
  t.true(text.includes('metrics_dropped_total 1400\n'));
});
