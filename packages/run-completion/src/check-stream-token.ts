import type { EngineToken } from '@laburnumshift/types';

/**
 * Compares a token of an engine's stream with the token that the run expects next.
 *
 * @param expected id and weight version of the attempt; a version of `undefined` accepts any, because the older system
 *   reports none
 * @param base offset of the first token of `texts`
 * @param texts output tokens that were sent to the caller already
 * @returns `pass` for the next token, `duplicate` for one that was sent already with the same text, otherwise the fault:
 *   `other-id` or `other-version` for a token of another attempt or weight version, `gap` for an offset after the next
 *   one, `overlap` for one that was sent already with another text
 */
export function checkStreamToken(
  token: EngineToken,
  expected: { readonly id: string; readonly version: string | undefined },
  base: number,
  texts: readonly string[],
): 'pass' | 'duplicate' | 'other-id' | 'other-version' | 'gap' | 'overlap' {
  if (token.id !== expected.id) return 'other-id';
  if (expected.version !== undefined && token.weight_version !== expected.version) return 'other-version';
  const next = base + texts.length;
  if (token.offset === next) return 'pass';
  if (!(token.offset < next)) return 'gap';
  return texts[token.offset - base] === token.text ? 'duplicate' : 'overlap';
}
