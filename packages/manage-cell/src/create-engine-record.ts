import { readMonotonicMs } from '@laburnumshift/clock';
import { createPrefillBacklog } from '@laburnumshift/place-request';
import type { BackendServer } from '@laburnumshift/types';
import type { CellOptions } from './cell-options.js';
import { CELL_TIMES } from './cell-times.js';
import type { EngineRecord } from './engine-record.js';

const FIRST_RUN_MS = 2000;

/** Creates the record of an engine that has not reported yet. */
export function createEngineRecord(server: BackendServer, options: CellOptions): EngineRecord {
  const nowMs = readMonotonicMs();
  return {
    server,
    client: options.createEngine(server),
    stopper: new AbortController(),
    load: undefined,
    loadAtMs: nowMs,
    pastBootIds: [],
    failures: 0,
    backoffMs: CELL_TIMES.backoffMs,
    backoffUntilMs: 0,
    leavingListed: false,
    leavingSeen: false,
    running: new Map(),
    ownPeak: 0,
    foreign: 0,
    backlog: createPrefillBacklog(),
    prefillRate: server.prefillTokensPerSecond,
    decodeRate: server.decodeTokensPerSecond,
    queueScale: 1,
    runMs: FIRST_RUN_MS,
    estimateError: 0,
  };
}
