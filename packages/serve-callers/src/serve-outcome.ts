import { createRefusal } from '@laburnumshift/errors';
import { OUTCOMES, type JournalDecision } from '@laburnumshift/types';
import { match } from 'ts-pattern';
import type { Exchange } from './exchange.js';
import { sendRefusal } from './send-refusal.js';

const PLATFORM_RETRY_MS = 1_000;

/** Answers `GET /outcome/SERVICE/KEY` with the state of the account's own call under this key. */
export async function serveOutcome(exchange: Exchange, service: string, key: string): Promise<void> {
  const { response, requestId, account, handlers } = exchange;
  const decision = await handlers.findOutcome({ account: account.name, service, key });
  const sendState = (state: Readonly<Record<string, unknown>>): void => {
    response
      .writeHead(200, { 'content-type': 'application/json', 'x-request-id': requestId })
      .end(JSON.stringify(state));
  };
  const refuse = (...refusal: Parameters<typeof createRefusal>): void => {
    sendRefusal(response, createRefusal(...refusal), requestId);
  };
  match<JournalDecision>(decision)
    .with({ kind: 'finished' }, ({ answer }) => {
      sendState({ state: 'finished', outcome: OUTCOMES.ran, status: answer.status, body: answer.body });
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
      refuse('platform_unavailable', message, OUTCOMES.unknown, PLATFORM_RETRY_MS);
    })
    .otherwise(() => {
      // An earlier send may still be on its way, so an absent record does not prove that the call will not run.
      refuse('not_found', 'no call is known under this key', OUTCOMES.unknown);
    });
}
