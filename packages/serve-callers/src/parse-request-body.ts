import { createRefusal } from '@laburnumshift/errors';
import type { Refusal, Result } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import type { z } from 'zod';
import type { Exchange } from './exchange.js';
import { readRequestText } from './read-request-text.js';

/** Reads a JSON body and checks it against a schema. The refusal lists all problems with their paths. */
export async function parseRequestBody<T>(
  exchange: Exchange,
  schema: z.ZodType<T>,
): Promise<Result<T, Refusal>> {
  const refuse = (message: string): Result<T, Refusal> => ({
    ok: false,
    error: createRefusal('bad_request', message, OUTCOMES.notRun),
  });
  const text = await readRequestText(exchange);
  if (!text.ok) return text;
  let value: unknown;
  try {
    value = JSON.parse(text.value);
  } catch {
    return refuse('the body is not JSON');
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return { ok: true, value: parsed.data };
  const problems = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
  return refuse(problems.join('; '));
}
