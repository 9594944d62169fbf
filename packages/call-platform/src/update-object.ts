import type { WriteResult } from '@laburnumshift/types';
import { ANSWER_SCHEMAS } from './answer-schemas.js';
import type { AttemptResult } from './attempt-result.js';
import type { Transport } from './transport.js';

/** Result of reading an object back after the answer to a change was lost. */
type ReadBackResult =
  | { readonly kind: 'applied'; readonly version: number }
  | { readonly kind: 'not-applied' }
  | { readonly kind: 'superseded' }
  | { readonly kind: 'unreadable' };

interface ConditionalChange {
  readonly send: (deadlineAt: number) => Promise<AttemptResult>;
  readonly readBack: (deadlineAt: number) => Promise<ReadBackResult>;
}

type AttemptOutcome =
  | { readonly kind: 'final'; readonly result: WriteResult }
  | { readonly kind: 'refused' | 'ambiguous'; readonly detail: string; readonly retryAfterMs: number };

const STATUS_RESULTS: Readonly<Record<number, (version: number | undefined) => WriteResult | undefined>> = {
  200: (version) => (version === undefined ? undefined : { kind: 'written', version }),
  404: () => ({ kind: 'conflict', version: 0 }),
  409: (version) => (version === undefined ? undefined : { kind: 'conflict', version }),
  413: () => ({ kind: 'too-large' }),
};

const resolveAttempt = (answer: AttemptResult): AttemptOutcome => {
  if (answer.kind === 'failed') {
    return { kind: answer.sent ? 'ambiguous' : 'refused', detail: answer.detail, retryAfterMs: 0 };
  }
  const detail = `status ${String(answer.status)}`;
  const parsed = ANSWER_SCHEMAS.version.safeParse(answer.body);
  const result = STATUS_RESULTS[answer.status]?.(parsed.data?.version);
  if (result !== undefined) return { kind: 'final', result };
  // With 4xx and 503 the platform has changed nothing. After other errors and invalid responses it may have.
  const refused = answer.status === 503 || (answer.status >= 400 && answer.status < 500);
  return { kind: refused ? 'refused' : 'ambiguous', detail, retryAfterMs: answer.retryAfterMs };
};

/**
 * Executes a conditional change. When its answer is lost, the object is read back before the change is sent again. Resending is
 * safe, because the condition on the version can hold only once. The result is `unknown` when the object cannot be read back
 * before the deadline, or when a later change has replaced it, so that it does not show whether this change was applied.
 */
export async function updateObject(transport: Transport, change: ConditionalChange): Promise<WriteResult> {
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
      const found = await change.readBack(deadlineAt);
      if (found.kind === 'applied') return { kind: 'written', version: found.version };
      if (found.kind === 'superseded') return { kind: 'unknown', detail };
    }
    if (!(await transport.waitBackoff(attempt, retryAfterMs, deadlineAt))) {
      return { kind: ambiguous ? 'unknown' : 'unavailable', detail };
    }
  }
}
