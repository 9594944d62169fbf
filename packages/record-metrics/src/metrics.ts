/** Labels of a metric; values must not name a client account. */
type Labels = Readonly<Record<string, string>>;

/**
 * Counters, gauges and histograms of one node. Each name has at most 500 counter series and 100 histogram series, since a
 * histogram takes about 200 KB. Events of further label combinations are only counted in `metrics_dropped_total`.
 */
export interface Metrics {
  /** Adds `by` to a counter, 1 by default; names end in `_total`. */
  readonly addToCounter: (name: string, labels?: Labels, by?: number) => void;
  /** Registers or replaces a gauge, which is read when the metrics are rendered. */
  readonly registerGauge: (name: string, read: () => number, labels?: Labels) => void;
  /** Registers a group of values, read when the metrics are rendered. Each key becomes the label `kind` of a series. */
  readonly registerGaugeGroup: (name: string, read: () => Readonly<Record<string, number>>) => void;
  /** Records a duration in milliseconds; names end in `_ms`. */
  readonly recordDuration: (name: string, ms: number, labels?: Labels) => void;
  /** Returns the value of a histogram at a percentile from 0 to 100, milliseconds; `undefined` when nothing was recorded. */
  readonly getPercentile: (name: string, percentile: number, labels?: Labels) => number | undefined;
  /** Returns the values of all counters by rendered series, e.g. `runs_total{service="chat"}`. */
  readonly listCounters: () => Readonly<Record<string, number>>;
  /** Renders all metrics in the Prometheus text format, sorted by line. */
  readonly renderMetrics: () => string;
}
