import type { History } from '../history/history.js';

/**
 * I8: no request was cut that began before the end of the delay that a stopping node grants the load balancer. A later one may
 * meet a connection that the node is closing.
 */
export function checkShutdown(history: History): readonly string[] {
  const operations = [...history.completions, ...history.bookings];
  return history.lives.flatMap(({ node, stopMs, drainMs = Infinity, killed }) =>
    stopMs === undefined || killed
      ? []
      : operations
          .filter(
            (operation) =>
              operation.node === node && operation.endMs >= stopMs && operation.startMs < drainMs,
          )
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
