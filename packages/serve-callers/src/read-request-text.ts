import { createRefusal } from '@laburnumshift/errors';
import type { Refusal, Result } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import type { Exchange } from './exchange.js';
import { readBody } from './read-body.js';

/** Reads the body of a request as text. Returns a refusal for a body that is too large, cut or not UTF-8. */
export async function readRequestText(exchange: Exchange): Promise<Result<string, Refusal>> {
  const body = await readBody(exchange.request, exchange.maxBodyBytes);
  if (body.ok) return body;
  const error =
    body.error === 'too-large'
      ? createRefusal(
          'body_too_large',
          `the body is over ${String(exchange.maxBodyBytes)} bytes`,
          OUTCOMES.notRun,
        )
      : createRefusal('bad_request', 'the body is cut or not UTF-8', OUTCOMES.notRun);
  return { ok: false, error };
}
