import type { ConfigSegment } from '@laburnumshift/types';
import { hashSegment } from './hash-segment.js';

/**
 * Returns a segment read from the platform or a peer when its content has the hash listed in the head; `undefined`
 * otherwise. The hash is the only check: the members are not validated.
 */
export function parseSegment(value: unknown, hash: string): ConfigSegment | undefined {
  const segment = value as ConfigSegment;
  return typeof value === 'object' && value !== null && hashSegment(segment) === hash ? segment : undefined;
}
