import { createHash } from 'node:crypto';
import { CHARACTERS_PER_TOKEN } from '@laburnumshift/hash-pieces';
import type { EngineRequest } from '@laburnumshift/types';

/** Computes for each piece the digest of the prompt up to its end. */
export function computePrefixTexts(request: EngineRequest): string[] {
  const hash = createHash('sha256');
  let start = 0;
  return request.pieces.map((piece) => {
    const end = start + piece.tokens * CHARACTERS_PER_TOKEN;
    hash.update(request.prompt.slice(start, end));
    start = end;
    return hash.copy().digest('hex');
  });
}
