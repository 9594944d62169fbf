import { formatDuration } from '../format-duration.js';

/** Formats a member that holds milliseconds. */
export function formatMs(value: unknown): string {
  return typeof value === 'number' ? formatDuration(value) : '?';
}
