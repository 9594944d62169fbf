import type { History } from '../history/history.js';

/** I6: no booking ran twice, counted over all instances and both systems. */
export function checkSingleRuns(history: History): readonly string[] {
  const places = new Map<string, string[]>();
  for (const [server, calls] of Object.entries(history.serviceCalls)) {
    for (const { key } of calls) {
      const known = places.get(key) ?? [];
      known.push(server);
      places.set(key, known);
    }
  }
  return [...places]
    .filter(([key, servers]) => key !== '' && servers.length > 1)
    .map(
      ([key, servers]) => `the booking ${key} ran ${String(servers.length)} times (${servers.join(', ')})`,
    );
}
