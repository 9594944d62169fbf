import { readWallMs } from '@laburnumshift/clock';
import { z } from 'zod';
import { readBody } from '../store/read-body.js';
import { sendJson } from '../store/send-json.js';
import { applyOrder } from './apply-order.js';
import { completionSchema } from './completion-schema.js';
import { computeLoad } from './compute-load.js';
import type { EngineCall } from './engine-call.js';
import { engineFaultsSchema } from './engine-faults-schema.js';
import { exportPiece } from './export-piece.js';
import { exportSchema } from './export-schema.js';
import { orderSchema } from './order-schema.js';
import { runRequest } from './run-request.js';

const cancelSchema = z.object({ request_id: z.string() });

function reply(call: EngineCall, status: number, value: unknown): void {
  sendJson(call.state.server, call.response, status, value, { 'x-boot-id': call.state.boot.id });
}

/** Reads a JSON body and checks it; answers 400 and returns `undefined` when it is not as expected. */
async function readChecked<T>(call: EngineCall, schema: z.ZodType<T>): Promise<T | undefined> {
  const text = (await readBody(call.request)).toString();
  const parsed = schema.safeParse(JSON.parse(text));
  if (parsed.success) return parsed.data;
  reply(call, 400, { error: 'bad_request', detail: parsed.error.message });
  return undefined;
}

function streamEvents(call: EngineCall): void {
  const { state, response, url } = call;
  const { boot, server } = state;
  response.writeHead(200, { 'content-type': 'text/event-stream', 'x-boot-id': boot.id });
  response.flushHeaders();
  const stopWatching = boot.events.watchEvents(Number(url.searchParams.get('since') ?? 0), (event) => {
    if (!server.isSilent(response)) response.write(`data: ${JSON.stringify(event)}\n\n`);
  });
  response.on('close', stopWatching);
}

function replyLoad(call: EngineCall): void {
  const { state } = call;
  const { loadReports } = state.faults;
  if (loadReports === 'failing') {
    reply(call, 500, { error: 'injected' });
    return;
  }
  const last = state.lastLoad;
  const keeps = last !== undefined && readWallMs() - last.at < state.settings.loadLagMs;
  const load = last !== undefined && (loadReports === 'frozen' || keeps) ? last : computeLoad(state);
  state.lastLoad = load;
  reply(call, 200, load);
}

/** Handlers of the fake engine by method and path. */
export const ENGINE_ROUTES: Readonly<Record<string, (call: EngineCall) => Promise<void> | void>> = {
  'POST /v1/completions': async (call) => {
    const request = await readChecked(call, completionSchema);
    if (request !== undefined) await runRequest(call.state, request, call.response);
  },
  'POST /v1/cancel': async (call) => {
    const body = await readChecked(call, cancelSchema);
    if (body === undefined) return;
    for (const run of call.state.boot.runs) {
      if (run.request.request_id === body.request_id) run.stopper.abort();
    }
    reply(call, 200, {});
  },
  'GET /kv/events': streamEvents,
  'GET /kv/pieces': (call) => {
    const { cache, events } = call.state.boot;
    const pieces = cache.listBlocks().map(({ scope, chain }) => ({ scope, chain }));
    reply(call, 200, { seq: events.seq, pieces });
  },
  'GET /load': replyLoad,
  'POST /kv/export': async (call) => {
    const order = await readChecked(call, exportSchema);
    if (order === undefined) return;
    const { status, value } = await exportPiece(call.state, order);
    reply(call, status, value);
  },
  'POST /orders': async (call) => {
    const order = await readChecked(call, orderSchema);
    if (order === undefined) return;
    const { status, value } = applyOrder(call.state, order);
    reply(call, status, value);
  },
  'GET /faults': (call) => {
    reply(call, 200, call.state.faults);
  },
  'PUT /faults': async (call) => {
    const patch = await readChecked(call, engineFaultsSchema);
    if (patch === undefined) return;
    reply(call, 200, call.state.faults);
    call.state.setFaults(patch as Parameters<typeof call.state.setFaults>[0]);
  },
  'GET /counters': (call) => {
    reply(call, 200, call.state.counters);
  },
};
