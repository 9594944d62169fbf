import type { PrefillBacklog } from '@laburnumshift/place-request';
import type { BackendServer, EngineClient, EngineLoad } from '@laburnumshift/types';
import type { RunningRequest } from './running-request.js';

/** State of an engine as the home knows it. Times are monotonic, milliseconds. */
export interface EngineRecord {
  server: BackendServer;
  readonly client: EngineClient;
  /** Aborted when the engine leaves the pool or the home closes. */
  readonly abortController: AbortController;
  /** Last load report; `undefined` before the first one and after a crash. */
  load: EngineLoad | undefined;
  loadAtMs: number;
  /** Boot ids of processes that ended. A late failure report about one of them says nothing about the current process. */
  readonly previousBootIds: string[];
  /** Consecutive failed load reads. */
  failures: number;
  backoffMs: number;
  backoffUntilMs: number;
  /** True when the host list marks the engine as leaving. */
  leavingByHostList: boolean;
  /** True when a load read was refused because the engine is leaving. */
  leavingByReply: boolean;
  readonly running: Map<string, RunningRequest>;
  /** Highest number of this home's requests in flight since the last load report. */
  peakOwnRunning: number;
  /** Requests in flight that another home or a local placer placed, by the last load report. */
  otherRunning: number;
  readonly backlog: PrefillBacklog;
  /** Smoothed prefill rate, tokens per second. */
  prefillRate: number;
  /** Smoothed decode rate of a request, tokens per second. */
  decodeRate: number;
  /** Observed queue time divided by backlog / prefill rate; below 1 when prefills run in parallel. */
  queueScale: number;
  /** Smoothed duration of a run from grant to report. */
  meanRunMs: number;
  /** Smoothed relative error of the estimated time to first token. */
  estimateError: number;
}
