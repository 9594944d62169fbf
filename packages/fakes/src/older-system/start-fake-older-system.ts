import type { IncomingMessage, ServerResponse } from 'node:http';
import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import type { FaultServerOptions } from '../service/fault-server-options.js';
import type { ServiceCallRecord } from '../service/service-call-record.js';
import { sendJson } from '../service/send-json.js';
import { startFaultServer } from '../service/start-fault-server.js';
import { COMPLETION_BODY_SCHEMA } from './completion-body-schema.js';
import { computeToken } from './compute-token.js';
import type { FakeOlderSystem } from './fake-older-system.js';
import type { OlderSystemOptions } from './older-system-options.js';

/** Starts a fake older system: completions with deterministic tokens, plain calls, and `GET /outcome/KEY`. */
export async function startFakeOlderSystem(options: OlderSystemOptions = {}): Promise<FakeOlderSystem> {
  const runs = options.runs ?? new Map<string, number>();
  const outcomes = new Map<string, { readonly status: number; readonly body: string }>();
  const calls: ServiceCallRecord[] = [];
  let completions = 0;

  const streamTokens = async (
    response: ServerResponse,
    body: string,
    isCurrent: () => boolean,
  ): Promise<void> => {
    const parsed = COMPLETION_BODY_SCHEMA.safeParse(JSON.parse(body));
    if (!parsed.success) {
      sendJson(response, 400, { error: parsed.error.message }, server.getBootId());
      return;
    }
    completions += 1;
    const { prompt, max_tokens: count, request_id: id, resume_offset: first = 0 } = parsed.data;
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-boot-id': server.getBootId() });
    for (let offset = first; offset < count; offset += 1) {
      if (options.tokenMs !== undefined) await sleep(options.tokenMs);
      if (!isCurrent() || response.destroyed) return;
      const event = {
        id,
        weight_version: 'older',
        offset,
        text: computeToken(prompt, offset),
        cached_pieces: 0,
        imported_pieces: 0,
        computed_tokens: 0,
        finish_reason: offset === count - 1 ? 'length' : null,
      };
      response.write(`data: ${JSON.stringify(event)}\n\n`);
    }
    response.end('data: [DONE]\n\n');
  };
  const runCall = (request: IncomingMessage, body: string): { status: number; body: string } => {
    const key = String(request.headers['idempotency-key'] ?? '');
    const known = outcomes.get(key);
    if (key !== '' && known !== undefined) return known;
    const count = (runs.get(key) ?? 0) + 1;
    runs.set(key, count);
    const atMs = readMonotonicMs();
    calls.push({ key, arrivedAtMs: atMs, ranAtMs: atMs });
    const answer = {
      service: 'older-system',
      method: request.method,
      path: request.url,
      key,
      runs: count,
      body,
    };
    const outcome = { status: 200, body: JSON.stringify(answer) };
    if (key !== '') outcomes.set(key, outcome);
    return outcome;
  };
  const handle: FaultServerOptions['handle'] = async (request, response, body, isCurrent) => {
    const faults = server.getFaults();
    const path = request.url ?? '/';
    if (request.method === 'GET' && path.startsWith('/outcome/')) {
      const outcome = outcomes.get(decodeURIComponent(path.slice('/outcome/'.length)));
      sendJson(response, outcome === undefined ? 404 : 200, outcome ?? {}, server.getBootId());
      return;
    }
    if (faults.leaving) {
      sendJson(response, 503, { error: 'leaving' }, server.getBootId());
      return;
    }
    const dropAnswer = (): void => {
      if (faults.lostBy === 'cut') request.socket.destroy();
    };
    if (server.takeLost('lostBeforeRun')) {
      dropAnswer();
      return;
    }
    if (faults.slowMs > 0) await sleep(faults.slowMs);
    if (!isCurrent()) return;
    if (path === '/v1/completions') {
      await streamTokens(response, body, isCurrent);
      return;
    }
    const outcome = runCall(request, body);
    if (server.takeLost('lostAfterRun')) {
      dropAnswer();
      return;
    }
    response.writeHead(outcome.status, { 'content-type': 'application/json' });
    response.end(outcome.body);
  };
  const server = await startFaultServer({ ip: options.ip, port: options.port, handle });
  return {
    url: server.url,
    adminUrl: server.adminUrl,
    countRuns: (key) => runs.get(key) ?? 0,
    listCalls: () => [...calls],
    countCompletions: () => completions,
    setFaults: server.setFaults,
    close: server.close,
  };
}
