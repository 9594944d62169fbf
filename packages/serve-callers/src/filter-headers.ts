import { UNFORWARDED_HEADERS } from './unforwarded-headers.js';

/**
 * Returns the headers that may be forwarded, with names in lower case. Headers that `connection` lists are removed too.
 * The values of a repeated header are joined with commas.
 */
export function filterHeaders(
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): Record<string, string> {
  const connectionHeaders = String(headers.connection ?? '')
    .toLowerCase()
    .split(/[\s,]+/);
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    const lowerName = name.toLowerCase();
    if (value === undefined || UNFORWARDED_HEADERS.has(lowerName) || connectionHeaders.includes(lowerName))
      continue;
    kept[lowerName] = typeof value === 'string' ? value : value.join(', ');
  }
  return kept;
}
