import { createHash } from 'node:crypto';
import type { ConfigSegment } from '@laburnumshift/types';

const sortMembers = (_name: string, value: unknown): unknown =>
  typeof value === 'object' && value !== null && !Array.isArray(value)
    ? Object.fromEntries(Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1)))
    : value;

/**
 * Computes the SHA-256 hash of a segment, independent of the order of object members.
 *
 * @returns 64 lower-case hexadecimal digits
 */
export function hashSegment(segment: ConfigSegment): string {
  return createHash('sha256').update(JSON.stringify(segment, sortMembers)).digest('hex');
}
