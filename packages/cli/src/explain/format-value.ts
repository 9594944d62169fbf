/** Formats a step member: a string unchanged, an absent member as `?`, anything else as JSON. */
export function formatValue(value: unknown): string {
  if (value === undefined) return '?';
  return typeof value === 'string' ? value : JSON.stringify(value);
}
