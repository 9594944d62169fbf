import { formatDuration } from '../format-duration.js';

/** Formats a step member in milliseconds, or returns `?` if it is not a number. */
export function formatMs(value: unknown): string {
  return typeof value === 'number' ? formatDuration(value) : '?';
}
