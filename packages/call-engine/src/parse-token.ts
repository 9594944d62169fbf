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
 * Parses the data of a stream event and checks that it is the expected token of this request. The checks are hand-written
 * instead of a schema, because they run for every token.
 *
 * @param offset number of output tokens before the expected one
 * @returns the token, or a text with the reason why it is invalid
 */
export function parseToken(
  request: EngineRequest,
  offset: number,
  data: string,
): Result<EngineToken, string> {
  let token: unknown;
  try {
    token = JSON.parse(data);
  } catch {
    return { ok: false, error: 'a token is not valid JSON' };
  }
  if (!hasTokenShape(token)) return { ok: false, error: 'a token has an unexpected shape' };
  if (token.id !== request.request_id) return { ok: false, error: 'a token has the id of another request' };
  if (token.weight_version !== request.weight_version) {
    return { ok: false, error: 'a token has another weight version than the request' };
  }
  if (token.offset !== offset) {
    return { ok: false, error: `received token ${String(token.offset)} instead of token ${String(offset)}` };
  }
  if (offset >= request.max_tokens) return { ok: false, error: 'received more tokens than max_tokens' };
  return { ok: true, value: token };
}
