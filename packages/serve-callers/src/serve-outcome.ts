import { createRefusal } from '@laburnumshift/errors';
import { OUTCOMES, type JournalDecision } from '@laburnumshift/types';
import { match } from 'ts-pattern';
import type { Exchange } from './exchange.js';
import { sendRefusal } from './send-refusal.js';

const PLATFORM_RETRY_AFTER_MS = 1_000;
/** Header that the journal sets to `false` on an answer whose body was too large to store. */
const STORED_HEADER = 'x-answer-stored';

/**
 * Handles `GET /outcome/SERVICE/KEY`: answers with the state of the account's own call under the key. `answerStored` is
 * false when the body of the answer was too large, so that only its status was stored. The outcome is never `not run`.
 */
export async function serveOutcome(exchange: Exchange, service: string, key: string): Promise<void> {
  const { response, requestId, account, handlers } = exchange;
  const sendState = (state: Readonly<Record<string, unknown>>): void => {
    response
      .writeHead(200, { 'content-type': 'application/json', 'x-request-id': requestId })
      .end(JSON.stringify(state));
  };
  const refuse = (...refusal: Parameters<typeof createRefusal>): void => {
    sendRefusal(response, createRefusal(...refusal), requestId);
  };
  const date = exchange.request.headers['idempotency-issued-at'];
  const hasDate = date !== undefined;
  if (hasDate && !/^\d{1,16}$/.test(String(date))) {
    refuse('bad_request', 'idempotency-issued-at is not a time in milliseconds', OUTCOMES.unknown);
    return;
  }
  const issuedAtMs = hasDate ? Number(date) : undefined;
  const decision = await handlers.findOutcome({ account: account.name, service, key, issuedAtMs });
  if (!decision.ok) {
    sendRefusal(response, decision.error, requestId);
    return;
  }
  match<JournalDecision>(decision.value)
    .with({ kind: 'finished' }, ({ answer }) => {
      const stored = answer.headers[STORED_HEADER] !== 'false';
      const { status, body } = answer;
      sendState({ state: 'finished', outcome: OUTCOMES.ran, status, answerStored: stored, body });
    })
    .with({ kind: 'in-progress' }, ({ retryAfterMs }) => {
      sendState({ state: 'in progress', outcome: OUTCOMES.unknown, retryAfterMs });
    })
    .with({ kind: 'unknown' }, () => {
      sendState({ state: 'unknown', outcome: OUTCOMES.unknown });
    })
    .with({ kind: 'expired' }, () => {
      refuse('idempotency_key_expired', 'records of this age are gone', OUTCOMES.unknown);
    })
    .with({ kind: 'unavailable' }, () => {
      const message = 'the journal cannot be read';
      refuse('platform_unavailable', message, OUTCOMES.unknown, PLATFORM_RETRY_AFTER_MS);
    })
    .otherwise(() => {
      // A call that was sent earlier may still arrive, so an absent record does not prove that the call will not run.
      refuse('not_found', 'no call is known under this key', OUTCOMES.unknown);
    });
}
