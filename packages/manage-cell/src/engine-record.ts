import type { PrefillBacklog } from '@laburnumshift/place-request';
import type { BackendServer, EngineClient, EngineLoad } from '@laburnumshift/types';
import type { RunningRequest } from './running-request.js';

/** What the home knows of an engine. */
export interface EngineRecord {
  server: BackendServer;
  readonly client: EngineClient;
  readonly stopper: AbortController;
  load: EngineLoad | undefined;
  loadAtMs: number;
  /** Boot ids that ended; a late failure report about one of them says nothing about the engine of today. */
  readonly pastBootIds: string[];
  /** Load readings that failed in a row. */
  failures: number;
  backoffMs: number;
  backoffUntilMs: number;
  /** Leaving by the host list or by an answer, in addition to its load report. */
  leavingListed: boolean;
  leavingSeen: boolean;
  readonly running: Map<string, RunningRequest>;
  /** Most requests of this home in flight since the last load report. */
  ownPeak: number;
  /** Requests of others in flight: another home, local decisions. */
  foreign: number;
  readonly backlog: PrefillBacklog;
  prefillRate: number;
  decodeRate: number;
  /** Observed queue time as a multiple of backlog / prefill rate; below 1 when prefills run side by side. */
  queueScale: number;
  runMs: number;
  estimateError: number;
}
