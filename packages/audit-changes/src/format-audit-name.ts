/** Digits of the time in a record's name. The fixed width makes names sort by time. */
const TIME_DIGITS = 15;

/** Formats the name of an audit record as `TIME-ID`, with the time in milliseconds since the epoch. */
export function formatAuditName(atMs: number, changeId: string): string {
  return `${String(Math.trunc(atMs)).padStart(TIME_DIGITS, '0')}-${changeId}`;
}
