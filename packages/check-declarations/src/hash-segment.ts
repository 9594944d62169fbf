import { createHash } from 'node:crypto';
import type { ConfigSegment } from '@laburnumshift/types';

const sortMembers = (_name: string, value: unknown): unknown =>
  typeof value === 'object' && value !== null && !Array.isArray(value)
    ? Object.fromEntries(Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1)))
    : value;

/** Hashes the content of a segment; the order of object members does not matter. 64 hexadecimal digits. */
export function hashSegment(segment: ConfigSegment): string {
  return createHash('sha256').update(JSON.stringify(segment, sortMembers)).digest('hex');
}
