/** Joins path segments, percent-encoding each; the path starts with `/`. */
export function encodePath(...segments: readonly string[]): string {
  return segments.map((segment) => `/${encodeURIComponent(segment)}`).join('');
}
