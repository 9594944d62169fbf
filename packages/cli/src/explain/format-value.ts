/** Formats a member of a step; an absent one as `?`. */
export function formatValue(value: unknown): string {
  if (value === undefined) return '?';
  return typeof value === 'string' ? value : JSON.stringify(value);
}
