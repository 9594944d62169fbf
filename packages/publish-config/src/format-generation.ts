/** Formats a generation as an object name that sorts by number. */
export function formatGeneration(generation: number): string {
  return String(generation).padStart(12, '0');
}
