/** Renders a metric name with its labels sorted by key, e.g. `runs_total{service="chat"}`. */
export function renderSeries(name: string, labels: Readonly<Record<string, string>>): string {
  const pairs = Object.entries(labels)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([key, value]) => `${key}=${JSON.stringify(value)}`);
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
}
