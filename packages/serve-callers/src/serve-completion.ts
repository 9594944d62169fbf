import { createHash } from 'node:crypto';
import { createRefusal } from '@laburnumshift/errors';
import type { Refusal, RunEnd } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import type { AuthenticatedCompletion } from './authenticated-completion.js';
import { COMPLETION_SCHEMA } from './completion-schema.js';
import type { Exchange } from './exchange.js';
import { parseRequestBody } from './parse-request-body.js';
import { sendRefusal } from './send-refusal.js';
import { writeChunk } from './write-chunk.js';

/** Handles `POST /v1/completions`: answers with one JSON body, or with an event stream when the request asks for it. */
export async function serveCompletion(exchange: Exchange): Promise<void> {
  const { response, requestId } = exchange;
  const body = await parseRequestBody(exchange, COMPLETION_SCHEMA);
  if (!body.ok) {
    sendRefusal(response, body.error, requestId);
    return;
  }
  const header = exchange.request.headers['x-resume-offset'] ?? '0';
  if (typeof header !== 'string' || !/^\d{1,9}$/.test(header)) {
    const message = 'x-resume-offset is not a count of tokens';
    sendRefusal(response, createRefusal('bad_request', message, OUTCOMES.notRun), requestId);
    return;
  }
  const { service, prompt, max_tokens: maxTokens, conversation, stream } = body.value;
  const parts = JSON.stringify([service, prompt, maxTokens, conversation ?? null]);
  const completion: AuthenticatedCompletion = {
    requestId,
    hasCallerId: exchange.hasCallerId,
    account: exchange.account,
    service,
    prompt,
    maxTokens,
    conversation,
    startOffset: Number(header),
    bodyHash: createHash('sha256').update(parts).digest('hex'),
    acceptedAtMs: exchange.acceptedAtMs,
  };
  await (stream ? streamAnswer(exchange, completion) : sendWholeAnswer(exchange, completion));
}

async function streamAnswer(exchange: Exchange, completion: AuthenticatedCompletion): Promise<void> {
  const { response, requestId, handlers, signal } = exchange;
  let hasFinishReason = false;
  for await (const item of handlers.runCompletion(completion, signal)) {
    if (item.kind === 'end' && item.end.kind === 'refused') {
      sendRefusal(response, item.end.refusal, requestId);
      return;
    }
    if (!response.headersSent) {
      response.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-store',
        'x-request-id': requestId,
      });
    }
    if (item.kind === 'end') {
      if (item.end.kind === 'finished' && !hasFinishReason) {
        const event = {
          id: requestId,
          offset: completion.startOffset,
          text: '',
          finish_reason: item.end.reason,
        };
        await writeChunk(exchange, `data: ${JSON.stringify(event)}\n\n`);
      }
      response.end('data: [DONE]\n\n');
      return;
    }
    hasFinishReason = item.finishReason !== null;
    const event = { id: requestId, offset: item.offset, text: item.text, finish_reason: item.finishReason };
    if (!(await writeChunk(exchange, `data: ${JSON.stringify(event)}\n\n`))) return;
  }
  sendRefusal(response, createUnfinishedRefusal(), requestId);
}

async function sendWholeAnswer(exchange: Exchange, completion: AuthenticatedCompletion): Promise<void> {
  const { response, requestId, handlers, signal } = exchange;
  const texts: string[] = [];
  let end: RunEnd | undefined;
  for await (const item of handlers.runCompletion(completion, signal)) {
    if (item.kind === 'token') texts.push(item.text);
    else end = item.end;
  }
  if (end?.kind !== 'finished') {
    sendRefusal(response, end?.refusal ?? createUnfinishedRefusal(), requestId);
    return;
  }
  const answer = {
    id: requestId,
    offset: completion.startOffset,
    text: texts.join(''),
    finish_reason: end.reason,
    output_tokens: texts.length,
  };
  response
    .writeHead(200, { 'content-type': 'application/json', 'x-request-id': requestId })
    .end(JSON.stringify(answer));
}

function createUnfinishedRefusal(): Refusal {
  return createRefusal('internal', 'the run ended without a result', OUTCOMES.unknown);
}
