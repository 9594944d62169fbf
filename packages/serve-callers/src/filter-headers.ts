import { HOP_HEADERS } from './hop-headers.js';

/** Keeps the headers that may be passed on; those named in `connection` are dropped too. */
export function filterHeaders(
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): Record<string, string> {
  const named = String(headers.connection ?? '')
    .toLowerCase()
    .split(/[\s,]+/);
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lower = name.toLowerCase();
    if (value === undefined || HOP_HEADERS.has(lower) || named.includes(lower)) continue;
    kept[lower] = typeof value === 'string' ? value : value.join(', ');
  }
  return kept;
}
