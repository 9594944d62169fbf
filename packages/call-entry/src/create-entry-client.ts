import http from 'node:http';
import { readMonotonicMs } from '@laburnumshift/clock';
import { collectTokens } from './collect-tokens.js';
import type { EntryCallResult } from './entry-call-result.js';
import type { EntryClient } from './entry-client.js';
import type { EntryError } from './entry-error.js';
import { parseError } from './parse-error.js';
import { readText } from './read-text.js';
import { sendRequest } from './send-request.js';

/** Creates a client that calls one entry node with the API key of one account. */
export function createEntryClient(baseUrl: string, key: string): EntryClient {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1024 });
  const authorization = `Bearer ${key}`;

  const sendCall = async (
    path: string,
    method: string,
    headers: http.OutgoingHttpHeaders,
    body: string,
  ): Promise<EntryCallResult> => {
    const startedAt = readMonotonicMs();
    const fail = (error: EntryError): EntryCallResult => ({
      kind: 'failed',
      error,
      totalMs: readMonotonicMs() - startedAt,
    });
    try {
      const options = { agent, method, headers: { authorization, ...headers } };
      const response = await sendRequest(new URL(path, baseUrl), options, body);
      const text = await readText(response);
      const status = response.statusCode ?? 0;
      const error = status >= 400 ? parseError(status, text) : undefined;
      if (error !== undefined) return fail(error);
      return { kind: 'answered', status, body: text, totalMs: readMonotonicMs() - startedAt };
    } catch (error) {
      return fail({ kind: 'cut', detail: String(error) });
    }
  };

  return {
    complete: async ({ service, prompt, maxTokens, requestId, conversation, offset = 0, signal }) => {
      const startedAt = readMonotonicMs();
      const tokens: string[] = [];
      let firstTokenMs: number | undefined;
      const finish = (finished: boolean, error?: EntryError) => ({
        tokens,
        firstTokenMs,
        totalMs: readMonotonicMs() - startedAt,
        finished,
        error,
      });
      const headers: http.OutgoingHttpHeaders = {
        authorization,
        'content-type': 'application/json',
        ...(requestId === undefined ? {} : { 'x-request-id': requestId }),
        ...(offset === 0 ? {} : { 'x-resume-offset': String(offset) }),
      };
      const body = JSON.stringify({ service, prompt, max_tokens: maxTokens, stream: true, conversation });
      try {
        const options = { agent, method: 'POST', headers, ...(signal === undefined ? {} : { signal }) };
        const response = await sendRequest(new URL('/v1/completions', baseUrl), options, body);
        const status = response.statusCode ?? 0;
        if (status !== 200) {
          const text = await readText(response);
          return finish(
            false,
            parseError(status, text) ?? { kind: 'cut', detail: `status ${String(status)}` },
          );
        }
        const { finished, error } = await collectTokens(response, offset, (text) => {
          firstTokenMs ??= readMonotonicMs() - startedAt;
          tokens.push(text);
        });
        return finish(finished, error);
      } catch (error) {
        return finish(false, { kind: 'cut', detail: String(error) });
      }
    },
    call: ({ service, path, method = 'POST', body = '', key: idempotencyKey, issuedAtMs }) =>
      sendCall(
        `/call/${encodeURIComponent(service)}${path}`,
        method,
        {
          'content-type': 'application/json',
          ...(idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey }),
          ...(issuedAtMs === undefined ? {} : { 'idempotency-issued-at': String(issuedAtMs) }),
        },
        body,
      ),
    findOutcome: (service, idempotencyKey) =>
      sendCall(
        `/outcome/${encodeURIComponent(service)}/${encodeURIComponent(idempotencyKey)}`,
        'GET',
        {},
        '',
      ),
    close: () => {
      agent.destroy();
    },
  };
}
