import { readMonotonicMs } from '@laburnumshift/clock';
import { createPrefillBacklog } from '@laburnumshift/place-request';
import type { BackendServer } from '@laburnumshift/types';
import type { CellOptions } from './cell-options.js';
import { CELL_TIMING } from './cell-timing.js';
import type { EngineRecord } from './engine-record.js';

/** Assumed mean duration of a run until the first run ends. */
const INITIAL_RUN_MS = 2000;

/** Creates the record of an engine that has not reported yet. */
export function createEngineRecord(server: BackendServer, options: CellOptions): EngineRecord {
  const nowMs = readMonotonicMs();
  return {
    server,
    client: options.createEngineClient(server),
    abortController: new AbortController(),
    load: undefined,
    loadAtMs: nowMs,
    previousBootIds: [],
    failures: 0,
    backoffMs: CELL_TIMING.initialBackoffMs,
    backoffUntilMs: 0,
    leavingByHostList: false,
    leavingByReply: false,
    running: new Map(),
    peakOwnRunning: 0,
    otherRunning: 0,
    backlog: createPrefillBacklog(),
    prefillRate: server.prefillTokensPerSecond,
    decodeRate: server.decodeTokensPerSecond,
    queueScale: 1,
    meanRunMs: INITIAL_RUN_MS,
    estimateError: 0,
  };
}
