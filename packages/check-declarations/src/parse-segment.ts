import type { ConfigSegment } from '@laburnumshift/types';
import { hashSegment } from './hash-segment.js';

/** Accepts a segment read from the platform or a peer only when its content has the hash that the head names. */
export function parseSegment(value: unknown, hash: string): ConfigSegment | undefined {
  const segment = value as ConfigSegment;
  return typeof value === 'object' && value !== null && hashSegment(segment) === hash ? segment : undefined;
}
