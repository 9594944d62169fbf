import type { EngineToken } from '@laburnumshift/types';

/**
 * Checks a token against what the run expects.
 *
 * @param expected version `undefined` accepts any, for the older system, which reports none
 * @param texts output tokens from `base` on that were passed on
 * @returns `pass` for the next token, `duplicate` for one that was passed on with the same text, otherwise the fault
 */
export function checkToken(
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
