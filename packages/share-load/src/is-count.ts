/** Whether a value of a message is a finite number of at least 0. */
export function isCount(value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && Number.isFinite(value);
}
