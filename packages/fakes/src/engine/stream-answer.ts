import type { ServerResponse } from 'node:http';
import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import type { EngineToken } from '@laburnumshift/types';
import { createAnswer } from './create-answer.js';
import type { EngineRun } from './engine-run.js';
import type { EngineState } from './engine-state.js';
import { STREAM_FAULT_HANDLERS } from './stream-fault-handlers.js';
import type { StreamFault } from './stream-fault.js';

/** Takes the first fault that has streams left. */
function takeStreamFault(state: EngineState): StreamFault | undefined {
  const index = state.faults.streamFaults.findIndex((fault) => fault.streams > 0);
  const fault = state.faults.streamFaults[index];
  if (fault === undefined) return undefined;
  const streamFaults = state.faults.streamFaults.map((other, at) =>
    at === index ? { ...other, streams: other.streams - 1 } : other,
  );
  state.setFaults({ streamFaults });
  return fault;
}

function buildToken(run: EngineRun, offset: number, text: string): EngineToken {
  const { request } = run;
  return {
    id: request.request_id,
    weight_version: run.weightVersion,
    offset,
    // An answer from foreign blocks differs, as it would on a real engine.
    text: run.foreign ? `foreign-${text}` : text,
    cached_pieces: run.cachedPieces,
    imported_pieces: run.importedPieces,
    computed_tokens: run.computedTokens,
    finish_reason: offset === request.max_tokens - 1 ? 'length' : null,
  };
}

/** Sends the tokens from the resume offset on at the decode rate, then `[DONE]`; a stream fault may change this. */
export async function streamAnswer(
  state: EngineState,
  run: EngineRun,
  response: ServerResponse,
): Promise<void> {
  const { request } = run;
  const { signal } = run.stopper;
  const fault = takeStreamFault(state);
  const getText = createAnswer(request.model, request.prompt);
  const send = (data: string): void => {
    if (!state.server.isSilent(response)) response.write(`data: ${data}\n\n`);
  };
  if (!state.server.isSilent(response)) {
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-boot-id': state.boot.id });
  }
  let dueMs = readMonotonicMs();
  for (let offset = request.resume_offset; offset < request.max_tokens; offset += 1) {
    const rate = state.settings.decodeTokensPerSecond * (1 - state.faults.otherShare);
    dueMs += 1000 / rate;
    const pause = dueMs - readMonotonicMs();
    if (pause >= 1) await sleep(pause, signal);
    if (signal.aborted) return;
    const token = buildToken(run, offset, getText(offset));
    if (fault?.afterTokens === offset - request.resume_offset) {
      const ended = await STREAM_FAULT_HANDLERS[fault.kind]({ state, run, response, token, send });
      if (ended) return;
    } else {
      send(JSON.stringify(token));
    }
    run.outputLeft -= 1;
    state.counters.outputTokens += 1;
  }
  send('[DONE]');
  if (!state.server.isSilent(response)) response.end();
}
