/** Reads the wall clock, milliseconds since the epoch. Use it for stored times only, as it may jump. */
export function readWallMs(): number {
  return Date.now();
}
