/** Digits of the time in a record's name; names then sort by time. */
const TIME_DIGITS = 15;

/** Formats the name of an audit record, `TIME-ID`. */
export function formatAuditName(atMs: number, changeId: string): string {
  return `${String(Math.trunc(atMs)).padStart(TIME_DIGITS, '0')}-${changeId}`;
}
