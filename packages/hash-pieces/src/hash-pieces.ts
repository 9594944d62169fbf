import { createHash } from 'node:crypto';
import type { PieceRef } from '@laburnumshift/types';
import { estimateTokens } from './estimate-tokens.js';
import { splitPrompt } from './split-prompt.js';

/**
 * Splits a prompt into pieces and computes their hash chain: each chain value covers the client account and all text up to the
 * end of its piece, so equal values mean equal text of the same account. The last piece may be shorter.
 *
 * @param pieceTokens number of tokens in a full piece
 * @returns one reference per piece, in prompt order; a chain value has 32 hexadecimal digits
 */
export function hashPieces(account: string, prompt: string, pieceTokens: number): PieceRef[] {
  let previous = createHash('sha256').update('account\0').update(account).digest();
  return splitPrompt(prompt, pieceTokens).map((text) => {
    previous = createHash('sha256').update(previous).update(text).digest();
    return { chain: previous.toString('hex', 0, 16), tokens: estimateTokens(text) };
  });
}
