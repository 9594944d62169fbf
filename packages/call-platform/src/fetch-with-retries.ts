import type { PlatformCallClass } from '@laburnumshift/types';
import type { z } from 'zod';
import type { Transport } from './transport.js';

/** Result of a GET request; `status` is 400, 404 or 410. */
type FetchResult<T> =
  | { readonly kind: 'fetched'; readonly body: T }
  | { readonly kind: 'status'; readonly status: number }
  | { readonly kind: 'unavailable'; readonly detail: string };

const FINAL_STATUSES = new Set([400, 404, 410]);

/**
 * Sends a GET request and retries it until the deadline, in monotonic milliseconds. A response that does not match the schema
 * is a failed attempt.
 */
export async function fetchWithRetries<T>(
  transport: Transport,
  path: string,
  schema: z.ZodType<T>,
  callClass: PlatformCallClass,
  deadlineAt: number,
): Promise<FetchResult<T>> {
  for (let attempt = 0; ; attempt += 1) {
    const answer = await transport.sendAttempt({ method: 'GET', path }, callClass, deadlineAt);
    let detail: string;
    let retryAfterMs = 0;
    if (answer.kind === 'failed') {
      detail = answer.detail;
    } else if (answer.status === 200) {
      const parsed = schema.safeParse(answer.body);
      if (parsed.success) return { kind: 'fetched', body: parsed.data };
      detail = 'the answer has the wrong shape';
    } else if (FINAL_STATUSES.has(answer.status)) {
      return { kind: 'status', status: answer.status };
    } else {
      detail = `status ${String(answer.status)}`;
      retryAfterMs = answer.retryAfterMs;
    }
    if (!(await transport.waitBackoff(attempt, retryAfterMs, deadlineAt)))
      return { kind: 'unavailable', detail };
  }
}
