/** Counters and histograms in the usual text format. */
export { createMetrics } from './create-metrics.js';
export type { Metrics } from './metrics.js';
