import type { ServerResponse } from 'node:http';
import { readMonotonicMs, runEvery, sleep } from '@laburnumshift/clock';
import { estimateTokens } from '@laburnumshift/hash-pieces';
import type { EngineRequest } from '@laburnumshift/types';
import { sendJson } from '../store/send-json.js';
import { buildPrefix } from './build-prefix.js';
import type { EngineRun } from './engine-run.js';
import type { EngineState } from './engine-state.js';
import { streamAnswer } from './stream-answer.js';

/** Returns why the request cannot run here, as status and body. */
function findObstacle(
  state: EngineState,
  request: EngineRequest,
): { status: number; value: unknown } | undefined {
  if (state.faults.leaving) return { status: 503, value: { error: 'leaving' } };
  if (request.model !== state.model) return { status: 404, value: { error: 'unknown_model' } };
  if (request.adapter !== undefined && !state.adapters.includes(request.adapter)) {
    return { status: 404, value: { error: 'unknown_adapter' } };
  }
  if (request.weight_version !== state.weightVersion) {
    return { status: 409, value: { error: 'weight_version_mismatch', weight_version: state.weightVersion } };
  }
  return undefined;
}

function recordRun(state: EngineState, run: EngineRun): void {
  run.record = {
    requestId: run.request.request_id,
    scope: run.request.cache_scope,
    weightVersion: run.weightVersion,
    arrivedAtMs: run.arrivedAtMs,
    startedAtMs: readMonotonicMs(),
    foreignBy: [],
  };
  state.runRecords.push(run.record);
  const { runs, runsByVersion } = state.counters;
  const id = run.request.request_id;
  runs[id] = (runs[id] ?? 0) + 1;
  runsByVersion[run.weightVersion] = (runsByVersion[run.weightVersion] ?? 0) + 1;
}

async function runInSlot(state: EngineState, run: EngineRun, response: ServerResponse): Promise<void> {
  const { request, stopper } = run;
  run.weightVersion = state.weightVersion;
  recordRun(state, run);
  const { crashMarker } = state.faults;
  if (crashMarker !== '' && request.prompt.includes(crashMarker)) {
    state.failEngine();
    return;
  }
  await buildPrefix(state, run);
  await state.boot.prefill.computeTokens(request.priority, request.resume_offset, stopper.signal);
  state.counters.resumedTokens += request.resume_offset;
  if (state.faults.answerDelayMs > 0) await sleep(state.faults.answerDelayMs, stopper.signal);
  if (!stopper.signal.aborted) await streamAnswer(state, run, response);
}

/** Pause between two signs of progress. */
const PROGRESS_MS = 500;

/** Sends an interim answer now and then until the head of the answer is sent or the run ends. */
function startProgress(state: EngineState, response: ServerResponse): () => void {
  return runEvery(
    PROGRESS_MS,
    () => {
      if (!response.headersSent && !response.destroyed && !state.server.isSilent(response)) {
        response.writeProcessing();
      }
    },
    () => undefined,
  );
}

/** Runs a completion from the wait for a slot to the last token. A closed connection or a cancellation ends it. */
export async function runRequest(
  state: EngineState,
  request: EngineRequest,
  response: ServerResponse,
): Promise<void> {
  const { boot } = state;
  const refuseRun = (obstacle: { status: number; value: unknown }): void => {
    sendJson(state.server, response, obstacle.status, obstacle.value, { 'x-boot-id': boot.id });
  };
  const early = findObstacle(state, request);
  if (early !== undefined) {
    refuseRun(early);
    return;
  }
  const run: EngineRun = {
    request,
    stopper: new AbortController(),
    arrivedAtMs: readMonotonicMs(),
    weightVersion: state.weightVersion,
    promptTokens:
      request.pieces.reduce((sum, piece) => sum + piece.tokens, 0) || estimateTokens(request.prompt),
    cachedPieces: 0,
    importedPieces: 0,
    computedTokens: 0,
    outputLeft: Math.max(0, request.max_tokens - request.resume_offset),
    foreign: false,
  };
  const stopRun = (): void => {
    run.stopper.abort();
    response.destroy();
  };
  response.on('close', stopRun);
  boot.stopper.signal.addEventListener('abort', stopRun);
  boot.runs.add(run);
  const stopProgress = startProgress(state, response);
  const releaseSlot = await boot.slots.takeSlot(request.priority, run.stopper.signal);
  try {
    // The weights may have changed, or the engine may be leaving, since the request arrived.
    const late = releaseSlot === undefined ? undefined : findObstacle(state, request);
    if (late !== undefined) refuseRun(late);
    else if (releaseSlot !== undefined) await runInSlot(state, run, response);
  } finally {
    stopProgress();
    boot.stopper.signal.removeEventListener('abort', stopRun);
    boot.runs.delete(run);
    releaseSlot?.();
    if (run.stopper.signal.aborted) response.destroy();
  }
}
