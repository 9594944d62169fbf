import { computeCacheScope, hashPieces } from '@laburnumshift/hash-pieces';
import type { EngineRequest } from '@laburnumshift/types';

/** Builds a completion request whose prompt has 8 pieces: 7 of 10 tokens and a last one of 5. */
export function buildRequest(patch: Partial<EngineRequest> = {}): EngineRequest {
  const prompt = patch.prompt ?? 'guide '.repeat(50);
  return {
    model: 'model',
    prompt,
    max_tokens: 5,
    stream: true,
    request_id: 'r1',
    priority: 1,
    cache_scope: computeCacheScope('account', 'model', undefined, 'v1'),
    weight_version: 'v1',
    pieces: hashPieces('account', prompt, 10),
    resume_offset: 0,
    imports: [],
    head_pieces: 0,
    ...patch,
  };
}
