import { UsageError } from 'clipanion';

/**
 * Parses a non-negative integer of at most nine digits.
 *
 * @throws UsageError if `text` has another form
 */
export function parseCount(name: string, text: string): number {
  if (/^\d{1,9}$/.test(text)) return Number(text);
  throw new UsageError(`${name} must be a whole number, not '${text}'. Type for example: ${name} 20`);
}
