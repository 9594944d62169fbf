const MS_PER_SECOND = 1000;
const SECONDS_PER_MINUTE = 60;
const MIN_WHOLE_MS = 10;

/** Formats a duration in milliseconds with a readable unit: `1.5 ms`, `12 ms`, `3.4 s`, `5 min 20 s`. */
export function formatDuration(ms: number): string {
  if (ms < MS_PER_SECOND)
    return `${ms > 0 && ms < MIN_WHOLE_MS ? ms.toFixed(1).replace(/\.0$/, '') : ms.toFixed(0)} ms`;
  const seconds = ms / MS_PER_SECOND;
  if (seconds < SECONDS_PER_MINUTE) return `${seconds.toFixed(1)} s`;
  const minutes = Math.floor(seconds / SECONDS_PER_MINUTE);
  return `${String(minutes)} min ${String(Math.floor(seconds % SECONDS_PER_MINUTE))} s`;
}
