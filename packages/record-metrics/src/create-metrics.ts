import { build, type Histogram } from 'hdr-histogram-js';
import type { Metrics } from './metrics.js';
import { renderSeries } from './render-series.js';

/** Highest value of a histogram, microseconds: one hour. Higher values are recorded as this one. */
const HIGHEST_US = 3_600_000_000;
const US_PER_MS = 1000;
/** Maximum number of series per name. A histogram takes about 200 KB. */
const MAX_COUNTERS_PER_NAME = 500;
const MAX_HISTOGRAMS_PER_NAME = 100;
const DROPPED = 'metrics_dropped_total';
const QUANTILES = [0.5, 0.95, 0.99] as const;

/** Creates empty metrics for one node. Histograms keep 3 significant digits from 1 microsecond to 1 hour. */
export function createMetrics(): Metrics {
  const counters = new Map<string, number>();
  const gauges = new Map<string, () => number>();
  const gaugeGroups = new Map<string, () => Readonly<Record<string, number>>>();
  /** Number of series per kind and name. */
  const seriesCounts = new Map<string, number>();
  const histograms = new Map<
    string,
    { name: string; labels: Readonly<Record<string, string>>; data: Histogram }
  >();

  const renderMetrics = (): string => {
    const lines = [
      ...[...counters].map(([series, value]) => `${series} ${String(value)}`),
      ...[...gauges].map(([series, read]) => `${series} ${String(read())}`),
      ...[...gaugeGroups].flatMap(([name, read]) =>
        Object.entries(read()).map(([kind, value]) => `${renderSeries(name, { kind })} ${String(value)}`),
      ),
    ];
    for (const { name, labels, data } of histograms.values()) {
      for (const quantile of QUANTILES) {
        const series = renderSeries(name, { ...labels, quantile: String(quantile) });
        lines.push(`${series} ${String(data.getValueAtPercentile(quantile * 100) / US_PER_MS)}`);
      }
      lines.push(`${renderSeries(`${name}_count`, labels)} ${String(data.totalCount)}`);
    }
    return `${lines.sort().join('\n')}\n`;
  };

  const admitSeries = (kind: string, limit: number): boolean => {
    const size = seriesCounts.get(kind) ?? 0;
    if (size >= limit) {
      counters.set(DROPPED, (counters.get(DROPPED) ?? 0) + 1);
      return false;
    }
    seriesCounts.set(kind, size + 1);
    return true;
  };

  return {
    addToCounter: (name, labels = {}, by = 1) => {
      const series = renderSeries(name, labels);
      if (!counters.has(series) && !admitSeries(`counter ${name}`, MAX_COUNTERS_PER_NAME)) return;
      counters.set(series, (counters.get(series) ?? 0) + by);
    },
    registerGauge: (name, read, labels = {}) => {
      gauges.set(renderSeries(name, labels), read);
    },
    registerGaugeGroup: (name, read) => {
      gaugeGroups.set(name, read);
    },
    recordDuration: (name, ms, labels = {}) => {
      const series = renderSeries(name, labels);
      let entry = histograms.get(series);
      if (entry === undefined) {
        if (!admitSeries(`histogram ${name}`, MAX_HISTOGRAMS_PER_NAME)) return;
        entry = {
          name,
          labels,
          data: build({ highestTrackableValue: HIGHEST_US, numberOfSignificantValueDigits: 3 }),
        };
        histograms.set(series, entry);
      }
      entry.data.recordValue(Math.min(HIGHEST_US, Math.max(0, Math.round(ms * US_PER_MS))));
    },
    getPercentile: (name, percentile, labels = {}) => {
      const entry = histograms.get(renderSeries(name, labels));
      return entry === undefined ? undefined : entry.data.getValueAtPercentile(percentile) / US_PER_MS;
    },
    listCounters: () => Object.fromEntries(counters),
    renderMetrics,
  };
}
