/** Formats a generation as an object name of 12 digits, so that names sort by number. */
export function formatGeneration(generation: number): string {
  return String(generation).padStart(12, '0');
}
