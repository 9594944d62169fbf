/** Reads the monotonic clock, milliseconds from an arbitrary start. Use it for intervals and timeouts. */
export function readMonotonicMs(): number {
  return performance.now();
}
