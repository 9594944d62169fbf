import { randomInt } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import { Agent } from 'node:http';
import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { uniformFloat32 } from 'pure-rand/distribution/uniformFloat32';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { sendHttpRequest } from './send-http-request.js';
import { createRateLimiter } from './create-rate-limiter.js';
import type { AttemptResult } from './attempt-result.js';
import type { PlatformClientOptions } from './platform-client-options.js';
import type { Transport } from './transport.js';

const DEFAULT_ATTEMPT_TIMEOUT_MS = 1000;
const DEFAULT_DEADLINE_MS = 3000;
const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1000;
/**
 * Smallest fraction of the attempt timeout that must be left for another attempt. A shorter attempt would probably time out and
 * turn a clear refusal into an unknown result.
 */
const MIN_ATTEMPT_FRACTION = 0.25;
/** Statuses that show that the platform can answer from its data; 429, 503 and other errors do not. */
const SUCCESS_STATUSES = new Set([200, 404, 409, 410, 413]);

/** Creates the transport of one platform client. */
export function createTransport(options: PlatformClientOptions): Transport {
  const attemptLimitMs = options.attemptTimeoutMs ?? DEFAULT_ATTEMPT_TIMEOUT_MS;
  const deadlineMs = options.deadlineMs ?? DEFAULT_DEADLINE_MS;
  const minAttemptMs = attemptLimitMs * MIN_ATTEMPT_FRACTION;
  const random = xoroshiro128plus(options.seed ?? randomInt(2 ** 31));
  const readLimiter = createRateLimiter(options.readsPerSecond);
  const writeLimiter = createRateLimiter(options.writesPerSecond);
  const agent = new Agent({ keepAlive: true });
  const closeController = new AbortController();
  // Each call in progress adds a listener to the signal, and the number of calls is not bounded.
  setMaxListeners(0, closeController.signal);
  const counts: Record<string, number> = {};
  let lastSuccessMs = readMonotonicMs();
  let failingSinceMs: number | undefined;

  const countResult = (name: string): void => {
    counts[name] = (counts[name] ?? 0) + 1;
  };

  const observeAnswer = (answer: AttemptResult): void => {
    countResult(answer.kind === 'answered' ? `status ${String(answer.status)}` : 'failed');
    if (answer.kind === 'answered' && SUCCESS_STATUSES.has(answer.status)) {
      lastSuccessMs = readMonotonicMs();
      failingSinceMs = undefined;
      return;
    }
    failingSinceMs ??= readMonotonicMs();
    // The platform may no longer answer on the idle connections either.
    if (answer.kind === 'failed') {
      for (const socket of Object.values(agent.freeSockets).flat()) socket?.destroy();
    }
  };

  const computePause = (attempt: number, retryAfterMs: number): number => {
    const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** attempt);
    return retryAfterMs + backoffMs * (0.5 + uniformFloat32(random) / 2);
  };

  return {
    sendAttempt: async (call, callClass, deadlineAt, attemptMs = attemptLimitMs) => {
      const limiter = call.method === 'GET' ? readLimiter : writeLimiter;
      const granted = await limiter.takeToken(callClass, Math.max(0, deadlineAt - readMonotonicMs()));
      const leftMs = deadlineAt - readMonotonicMs();
      if (!granted || leftMs <= 0 || closeController.signal.aborted) {
        countResult('no budget');
        return { kind: 'failed', sent: false, detail: 'call budget used up' };
      }
      countResult(`class ${callClass}`);
      const limitMs = Math.min(attemptMs, leftMs);
      const answer = await sendHttpRequest(agent, options.url, call, limitMs, closeController.signal);
      observeAnswer(answer);
      return answer;
    },
    computeDeadline: () => readMonotonicMs() + deadlineMs,
    waitBackoff: async (attempt, retryAfterMs, deadlineAt) => {
      const now = readMonotonicMs();
      // In an outage longer than the deadline each call makes one attempt, so that its caller gets the failure early.
      const isLongOutage = failingSinceMs !== undefined && now - failingSinceMs > deadlineMs;
      const pauseMs = computePause(attempt, retryAfterMs);
      if (isLongOutage || closeController.signal.aborted || now + pauseMs + minAttemptMs >= deadlineAt)
        return false;
      await sleep(pauseMs, closeController.signal);
      return !closeController.signal.aborted;
    },
    waitBetweenAttempts: (attempt, retryAfterMs) =>
      sleep(computePause(attempt, retryAfterMs), closeController.signal),
    getSilenceMs: () => readMonotonicMs() - lastSuccessMs,
    getCounts: () => ({ ...counts }),
    isClosed: () => closeController.signal.aborted,
    close: () => {
      closeController.abort();
      agent.destroy();
    },
  };
}
