/** Counters, gauges and histograms, rendered in the Prometheus text format. */
export { createMetrics } from './create-metrics.js';
export type { Metrics } from './metrics.js';
