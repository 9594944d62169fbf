import type { WriteResult } from '@laburnumshift/types';
import { ANSWER_SCHEMAS } from './answer-schemas.js';
import type { HttpAnswer } from './http-answer.js';
import type { Transport } from './transport.js';

/** What reading back says about a change whose answer was lost. */
type ReadBack =
  | { readonly kind: 'applied'; readonly version: number }
  | { readonly kind: 'not-applied' }
  | { readonly kind: 'superseded' }
  | { readonly kind: 'unreadable' };

interface Change {
  readonly send: (deadlineAt: number) => Promise<HttpAnswer>;
  readonly readBack: (deadlineAt: number) => Promise<ReadBack>;
}

type Attempt =
  | { readonly kind: 'final'; readonly result: WriteResult }
  | { readonly kind: 'refused' | 'ambiguous'; readonly detail: string; readonly retryAfterMs: number };

const STATUS_RESULTS: Readonly<Record<number, (version: number | undefined) => WriteResult | undefined>> = {
  200: (version) => (version === undefined ? undefined : { kind: 'written', version }),
  404: () => ({ kind: 'conflict', version: 0 }),
  409: (version) => (version === undefined ? undefined : { kind: 'conflict', version }),
  413: () => ({ kind: 'too-large' }),
};

const resolveAttempt = (answer: HttpAnswer): Attempt => {
  if (answer.kind === 'failed') {
    return { kind: answer.sent ? 'ambiguous' : 'refused', detail: answer.detail, retryAfterMs: 0 };
  }
  const detail = `status ${String(answer.status)}`;
  const parsed = ANSWER_SCHEMAS.version.safeParse(answer.body);
  const result = STATUS_RESULTS[answer.status]?.(parsed.data?.version);
  if (result !== undefined) return { kind: 'final', result };
  // The platform refuses with 4xx and 503 before any change; other errors and unreadable answers leave it open.
  const refused = answer.status === 503 || (answer.status >= 400 && answer.status < 500);
  return { kind: refused ? 'refused' : 'ambiguous', detail, retryAfterMs: answer.retryAfterMs };
};

/**
 * Carries out a conditional change. After a lost answer the object is read back before the change is sent again; sending
 * it again is safe because its condition can hold only once. `unknown` remains when the read-back fails until the
 * deadline, or when another change has replaced the object meanwhile and hides whether this one came first.
 */
export async function updateObject(transport: Transport, change: Change): Promise<WriteResult> {
  const deadlineAt = transport.computeDeadline();
  let ambiguous = false;
  for (let attempt = 0; ; attempt += 1) {
    const outcome = resolveAttempt(await change.send(deadlineAt));
    let detail = 'the object changed after the answer was lost';
    let retryAfterMs = 0;
    if (outcome.kind === 'final') {
      if (!ambiguous || outcome.result.kind !== 'conflict') return outcome.result;
    } else {
      ({ detail, retryAfterMs } = outcome);
      ambiguous ||= outcome.kind === 'ambiguous';
    }
    if (ambiguous) {
      const seen = await change.readBack(deadlineAt);
      if (seen.kind === 'applied') return { kind: 'written', version: seen.version };
      if (seen.kind === 'superseded') return { kind: 'unknown', detail };
    }
    if (!(await transport.waitBackoff(attempt, retryAfterMs, deadlineAt))) {
      return { kind: ambiguous ? 'unknown' : 'unavailable', detail };
    }
  }
}
