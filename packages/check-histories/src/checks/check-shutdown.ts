import type { History } from '../history/history.js';

/** I8: no request that began before a graceful stop took effect was cut. */
export function checkShutdown(history: History): readonly string[] {
  const operations = [...history.completions, ...history.bookings];
  return history.lives.flatMap(({ node, stopMs, killed }) =>
    stopMs === undefined || killed
      ? []
      : operations
          .filter((operation) => operation.node === node && operation.endMs >= stopMs)
          .flatMap(({ key, account, startMs, result }) =>
            result.kind === 'cut'
              ? [
                  `${key} of ${account}, sent ${String(Math.round(startMs - stopMs))} ms after the stop of ${node} began, ` +
                    `was cut: ${result.detail}`,
                ]
              : [],
          ),
  );
}
