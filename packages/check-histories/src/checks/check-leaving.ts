import type { History } from '../history/history.js';
import { computeDeadline } from './compute-deadline.js';
import { findRequestId } from './find-request-id.js';

/** Target of section 1.1: last new call within 3 s of the mark. */
const LAST_CALL_MS = 3_000;

/**
 * I7: a server that was marked as leaving got no call that it ran later than 3 s after the mark; a call that waits for a slot counts from its arrival. Times in which the host list could not be
 * read do not count, and neither do those in which a node was paused: such a node cannot know of the mark when it goes on.
 */
export function checkLeaving(history: History): readonly string[] {
  const operations = [...history.completions, ...history.bookings];
  const pauses = [...history.outages, ...history.lives.flatMap((life) => life.pauses)];
  return history.leavings.flatMap(({ server, startMs, endMs }) => {
    const runs = [
      ...(history.engineRuns[server] ?? []).map((run) => ({
        key: findRequestId(run.requestId),
        atMs: run.arrivedAtMs,
      })),
      ...(history.serviceCalls[server] ?? []).map((call) => ({ key: call.key, atMs: call.arrivedAtMs })),
    ];
    const deadlineMs = computeDeadline(startMs, LAST_CALL_MS, pauses);
    return runs
      .filter(({ atMs }) => atMs > deadlineMs && atMs < endMs)
      .map(({ key, atMs }) => {
        const senders = operations
          .filter((one) => one.key === key && one.startMs <= atMs && one.endMs >= atMs)
          .map((one) => one.node);
        const late = String(Math.round(atMs - startMs));
        const allowed = String(Math.round(deadlineMs - startMs));
        return `${server} got ${key} of ${senders.join(', ')} ${late} ms after its mark; ${allowed} ms are allowed`;
      });
  });
}
