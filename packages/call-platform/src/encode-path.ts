/** Joins path segments, each encoded. */
export function encodePath(...segments: readonly string[]): string {
  return segments.map((segment) => `/${encodeURIComponent(segment)}`).join('');
}
