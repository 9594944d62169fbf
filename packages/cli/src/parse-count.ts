import { UsageError } from 'clipanion';

/** Parses a whole number given as an argument. */
export function parseCount(name: string, text: string): number {
  if (/^\d{1,9}$/.test(text)) return Number(text);
  throw new UsageError(`${name} must be a whole number, not '${text}'. Type for example: ${name} 20`);
}
