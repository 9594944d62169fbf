/** Reads the wall clock, milliseconds since the epoch. Use it for stored times only; it may jump. */
export function readWallMs(): number {
  return Date.now();
}
