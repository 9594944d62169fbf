import { randomInt } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import { Agent } from 'node:http';
import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { uniformFloat32 } from 'pure-rand/distribution/uniformFloat32';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { callHttp } from './call-http.js';
import { createCallBudget } from './create-call-budget.js';
import type { HttpAnswer } from './http-answer.js';
import type { PlatformClientOptions } from './platform-client-options.js';
import type { Transport } from './transport.js';

const DEFAULT_ATTEMPT_MS = 1000;
const DEFAULT_DEADLINE_MS = 3000;
const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1000;
/** An attempt needs at least this part of its limit; a shorter one would time out and make a clear refusal ambiguous. */
const LEAST_ATTEMPT = 0.25;
/** The platform is alive after these; 429, 503 and other errors say nothing about the data. */
const SUCCESS_STATUSES = new Set([200, 404, 409, 410, 413]);

/** Creates the transport of one client. */
export function createTransport(options: PlatformClientOptions): Transport {
  const attemptLimitMs = options.attemptMs ?? DEFAULT_ATTEMPT_MS;
  const deadlineMs = options.deadlineMs ?? DEFAULT_DEADLINE_MS;
  const leastMs = attemptLimitMs * LEAST_ATTEMPT;
  const random = xoroshiro128plus(options.seed ?? randomInt(2 ** 31));
  const reads = createCallBudget(options.readsPerSecond);
  const writes = createCallBudget(options.writesPerSecond);
  const agent = new Agent({ keepAlive: true });
  const stopper = new AbortController();
  // Each call in flight listens to the signal, and there is no bound on calls in flight.
  setMaxListeners(0, stopper.signal);
  const counts: Record<string, number> = {};
  let succeededAt = readMonotonicMs();
  let failingSince: number | undefined;

  const countOne = (name: string): void => {
    counts[name] = (counts[name] ?? 0) + 1;
  };

  const observeAnswer = (answer: HttpAnswer): void => {
    countOne(answer.kind === 'answered' ? `status ${String(answer.status)}` : 'failed');
    if (answer.kind === 'answered' && SUCCESS_STATUSES.has(answer.status)) {
      succeededAt = readMonotonicMs();
      failingSince = undefined;
      return;
    }
    failingSince ??= readMonotonicMs();
    // Idle connections of the pool may have gone silent together with this one.
    if (answer.kind === 'failed') {
      for (const socket of Object.values(agent.freeSockets).flat()) socket?.destroy();
    }
  };

  const computePause = (attempt: number, retryAfterMs: number): number => {
    const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** attempt);
    return retryAfterMs + backoffMs * (0.5 + uniformFloat32(random) / 2);
  };

  return {
    sendCall: async (call, callClass, deadlineAt, attemptMs = attemptLimitMs) => {
      const budget = call.method === 'GET' ? reads : writes;
      const granted = await budget.takeToken(callClass, Math.max(0, deadlineAt - readMonotonicMs()));
      const leftMs = deadlineAt - readMonotonicMs();
      if (!granted || leftMs <= 0 || stopper.signal.aborted) {
        countOne('no budget');
        return { kind: 'failed', sent: false, detail: 'call budget used up' };
      }
      countOne(`class ${callClass}`);
      const limitMs = Math.min(attemptMs, leftMs);
      const answer = await callHttp(agent, options.url, call, limitMs, stopper.signal);
      observeAnswer(answer);
      return answer;
    },
    computeDeadline: () => readMonotonicMs() + deadlineMs,
    waitBackoff: async (attempt, retryAfterMs, deadlineAt) => {
      const now = readMonotonicMs();
      // In a long outage each call makes one attempt, so that callers get their answer early.
      const failedLong = failingSince !== undefined && now - failingSince > deadlineMs;
      const pauseMs = computePause(attempt, retryAfterMs);
      if (failedLong || stopper.signal.aborted || now + pauseMs + leastMs >= deadlineAt) return false;
      await sleep(pauseMs, stopper.signal);
      return !stopper.signal.aborted;
    },
    pauseAttempt: (attempt, retryAfterMs) => sleep(computePause(attempt, retryAfterMs), stopper.signal),
    getSilenceMs: () => readMonotonicMs() - succeededAt,
    getCounts: () => ({ ...counts }),
    isClosed: () => stopper.signal.aborted,
    close: () => {
      stopper.abort();
      agent.destroy();
    },
  };
}
