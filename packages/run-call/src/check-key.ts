import { createRefusal } from '@laburnumshift/errors';
import type { Refusal, Result } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const MAX_KEY_LENGTH = 256;
/** Clock difference allowed to callers; a twentieth of the retention when that is shorter. */
const MAX_SKEW_MS = 60_000;
const SKEW_SHARE = 20;

/**
 * Checks the key of a non-idempotent call and finds when it was issued. The time inside a UUID version 7 goes before the
 * caller's header, because a resend cannot change it.
 *
 * A record is kept from its first write, which a key from the future precedes by up to the skew. Keys are therefore accepted
 * for the retention less twice the skew (the caller's and the nodes'), so that no key outlives its record.
 *
 * @returns the time of issue, milliseconds since the epoch
 */
export function checkKey(
  key: string | undefined,
  issuedAtMs: number | undefined,
  nowMs: number,
  retentionMs: number,
): Result<number, Refusal> {
  const refuse = (...refusal: Parameters<typeof createRefusal>): Result<number, Refusal> => ({
    ok: false,
    error: createRefusal(...refusal),
  });
  if (key === undefined || key === '' || key.length > MAX_KEY_LENGTH) {
    return refuse(
      'idempotency_key_required',
      'an idempotency-key of 1 to 256 characters is required',
      OUTCOMES.notRun,
    );
  }
  const issued = UUID_V7.test(key) ? parseInt(key.replace('-', '').slice(0, 12), 16) : issuedAtMs;
  if (issued === undefined) {
    const message = 'the key is no UUID version 7 and idempotency-issued-at is absent';
    return refuse('idempotency_key_undated', message, OUTCOMES.notRun);
  }
  const skewMs = Math.min(MAX_SKEW_MS, retentionMs / SKEW_SHARE);
  if (issued > nowMs + skewMs) {
    return refuse('idempotency_key_undated', 'the key is dated in the future', OUTCOMES.notRun);
  }
  if (issued < nowMs - retentionMs + 2 * skewMs) {
    return refuse(
      'idempotency_key_expired',
      'the key is older than the records that are kept',
      OUTCOMES.unknown,
    );
  }
  return { ok: true, value: issued };
}
