import { createHash } from 'node:crypto';
import type { PieceRef } from '@laburnumshift/types';
import { countTokens } from './count-tokens.js';
import { splitPrompt } from './split-prompt.js';

/**
 * Splits a prompt into pieces and chains their hashes: each chain value covers the client account and all text up to the
 * end of its piece, so equal values mean equal text of one account. The last piece may be shorter.
 *
 * @param pieceTokens tokens in a full piece
 * @returns chain values of 32 hexadecimal digits, in prompt order
 */
export function hashPieces(account: string, prompt: string, pieceTokens: number): PieceRef[] {
  let previous = createHash('sha256').update('account\0').update(account).digest();
  return splitPrompt(prompt, pieceTokens).map((text) => {
    previous = createHash('sha256').update(previous).update(text).digest();
    return { chain: previous.toString('hex', 0, 16), tokens: countTokens(text) };
  });
}
