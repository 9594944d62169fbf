import type { EngineRequest, EngineToken, Result } from '@laburnumshift/types';

const FINISH_REASONS: readonly unknown[] = ['stop', 'length', null];

function hasTokenShape(value: unknown): value is EngineToken {
  if (typeof value !== 'object' || value === null) return false;
  const token = value as Partial<Record<keyof EngineToken, unknown>>;
  return (
    typeof token.id === 'string' &&
    typeof token.weight_version === 'string' &&
    Number.isInteger(token.offset) &&
    typeof token.text === 'string' &&
    Number.isInteger(token.cached_pieces) &&
    Number.isInteger(token.imported_pieces) &&
    Number.isFinite(token.computed_tokens) &&
    FINISH_REASONS.includes(token.finish_reason)
  );
}

/**
 * Checks that a line of the stream is the expected token of this request. Written by hand, because it runs for every token.
 *
 * @param offset output tokens before the expected one
 * @returns the token, or what is wrong with it
 */
export function checkToken(
  request: EngineRequest,
  offset: number,
  data: string,
): Result<EngineToken, string> {
  let token: unknown;
  try {
    token = JSON.parse(data);
  } catch {
    return { ok: false, error: 'a token is no JSON' };
  }
  if (!hasTokenShape(token)) return { ok: false, error: 'a token has an unexpected shape' };
  if (token.id !== request.request_id) return { ok: false, error: 'a token belongs to another request' };
  if (token.weight_version !== request.weight_version) {
    return { ok: false, error: 'a token comes from another weight version' };
  }
  if (token.offset !== offset) {
    return { ok: false, error: `token ${String(token.offset)} arrived in place of ${String(offset)}` };
  }
  if (offset >= request.max_tokens) return { ok: false, error: 'more tokens than asked for' };
  return { ok: true, value: token };
}
