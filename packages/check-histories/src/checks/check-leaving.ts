import type { History } from '../history/history.js';
import { computeDeadline } from './compute-deadline.js';

/** Target of section 1.1: last new call within 3 s of the mark. */
const LAST_CALL_MS = 3_000;

/**
 * I7: a server that was marked as leaving began no run later than 3 s after the mark. Times in which the host list could not be
 * read do not count, and neither do those in which a node was paused: such a node cannot know of the mark when it goes on.
 */
export function checkLeaving(history: History): readonly string[] {
  const pauses = [...history.outages, ...history.lives.flatMap((life) => life.pauses)];
  return history.leavings.flatMap(({ server, startMs, endMs }) => {
    const times = [
      ...(history.engineRuns[server] ?? []).map((run) => run.startedAtMs),
      ...(history.serviceCalls[server] ?? []).map((call) => call.ranAtMs),
    ];
    const deadlineMs = computeDeadline(startMs, LAST_CALL_MS, pauses);
    return times
      .filter((atMs) => atMs > deadlineMs && atMs < endMs)
      .map(
        (atMs) =>
          `${server} got new work ${String(Math.round(atMs - startMs))} ms after it was marked as leaving`,
      );
  });
}
