import { createServiceClient } from '@laburnumshift/call-service';
import type { CallResponse, OlderSystemClient, PeerError, Result } from '@laburnumshift/types';
import type { OlderSystemClientOptions } from './older-system-client-options.js';
import { OUTCOME_SCHEMA } from './outcome-schema.js';
import { parseJson } from './parse-json.js';
import { streamCompletion } from './stream-completion.js';

const OUTCOME_TIMEOUT_MS = 2000;

/** Creates the client of the older system. Each call is sent at most once. */
export function createOlderSystemClient(options: OlderSystemClientOptions): OlderSystemClient {
  const calls = createServiceClient(options);
  const findOutcome = async (key: string): Promise<Result<CallResponse | undefined, PeerError>> => {
    const path = `/outcome/${encodeURIComponent(key)}`;
    const answer = await calls.sendCall(
      { method: 'GET', path, headers: {}, body: '' },
      OUTCOME_TIMEOUT_MS,
      false,
    );
    if (!answer.ok) return answer;
    if (answer.value.status === 404) return { ok: true, value: undefined };
    const parsed = OUTCOME_SCHEMA.safeParse(parseJson(answer.value.body)).data;
    if (answer.value.status !== 200 || parsed === undefined) {
      const detail = `invalid response to the outcome request, status ${String(answer.value.status)}`;
      return { ok: false, error: { kind: 'bad-answer', detail, sent: true } };
    }
    const headers = { 'content-type': 'application/json' };
    return { ok: true, value: { status: parsed.status, headers, body: parsed.body } };
  };
  return {
    sendCall: (call, timeoutMs) => calls.sendCall(call, timeoutMs, false),
    streamCompletion: (body, requestId, limits, signal) =>
      streamCompletion(options.url, body, requestId, limits, signal),
    findOutcome,
    close: calls.close,
  };
}
