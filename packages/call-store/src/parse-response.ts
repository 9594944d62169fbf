import type { PeerError, Result } from '@laburnumshift/types';
import type { z } from 'zod';
import type { HttpResponse } from './http-response.js';
import { toPeerError } from './to-peer-error.js';

/**
 * Validates the body of a response. A status other than 200 is converted by `toPeerError`; a body that does not match the
 * schema is a `bad-answer`.
 */
export function parseResponse<T>(
  answer: Result<HttpResponse, PeerError>,
  schema: z.ZodType<T>,
): Result<T, PeerError> {
  if (!answer.ok) return answer;
  if (answer.value.status !== 200) return { ok: false, error: toPeerError(answer.value) };
  const parsed = schema.safeParse(answer.value.body);
  if (parsed.success) return { ok: true, value: parsed.data };
  const issue = parsed.error.issues[0];
  const detail = `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'unexpected shape'}`;
  return { ok: false, error: { kind: 'bad-answer', detail, sent: true } };
}
