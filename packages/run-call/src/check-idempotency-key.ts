import { createRefusal } from '@laburnumshift/errors';
import type { Refusal, Result } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const MAX_KEY_LENGTH = 256;
/** Largest clock difference allowed to callers. It is a twentieth of the retention when that is less. */
const MAX_CLOCK_SKEW_MS = 60_000;
const RETENTION_TO_SKEW_RATIO = 20;

/**
 * Checks the key of a non-idempotent call and finds when it was issued. The timestamp inside a UUID version 7 takes
 * precedence over the time in the caller's header, because a resend cannot change it.
 *
 * The retention of a record counts from its first write, and the clock of the caller or of another node may differ from
 * this one by up to the allowed skew. Keys are therefore accepted for the retention less twice the skew (once for the
 * caller, once for the nodes), so that no key is accepted after its record was deleted.
 *
 * @param key 1 to 256 characters
 * @param issuedAtMs time of issue from the caller's header, milliseconds since the epoch; ignored for a UUID version 7
 * @param nowMs current time, milliseconds since the epoch
 * @param retentionMs how long the journal keeps records, milliseconds
 * @returns the time of issue, milliseconds since the epoch, or a refusal for a key that is missing, too long, undated,
 *   dated in the future or older than the records
 */
export function checkIdempotencyKey(
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
  const keyTimeMs = UUID_V7.test(key) ? parseInt(key.replace('-', '').slice(0, 12), 16) : issuedAtMs;
  if (keyTimeMs === undefined) {
    const message = 'the key is no UUID version 7 and idempotency-issued-at is absent';
    return refuse('idempotency_key_undated', message, OUTCOMES.notRun);
  }
  const skewMs = Math.min(MAX_CLOCK_SKEW_MS, retentionMs / RETENTION_TO_SKEW_RATIO);
  if (keyTimeMs > nowMs + skewMs) {
    return refuse('idempotency_key_undated', 'the key is dated in the future', OUTCOMES.notRun);
  }
  if (keyTimeMs < nowMs - retentionMs + 2 * skewMs) {
    return refuse(
      'idempotency_key_expired',
      'the key is older than the records that are kept',
      OUTCOMES.unknown,
    );
  }
  return { ok: true, value: keyTimeMs };
}
