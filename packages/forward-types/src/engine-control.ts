import type { ProbeResult } from './probe-result.js';
import type { BackendEntry } from './backend-entry.js';
import type { CacheEventsPage } from './cache-events-page.js';
import type { EngineReport } from './engine-report.js';
import type { MoveAnswer } from './move-answer.js';
import type { OrderOutcome } from './order-outcome.js';
import type { RunMove } from './run-move.js';
import type { WeightOrder } from './weight-order.js';

/** Control requests to engines and stores, apart from callers' calls. Its promises never reject; `undefined` means no usable answer. */
export interface EngineControl {
  /** Calls the handler with the address of each server whose answer to a control request states that it is leaving. */
  readonly watchLeaving: (handler: (address: string) => void) => void;
  /** Calls the handler with the address of each server whose answer to a control request states for how long it stays cold. */
  readonly watchCold: (handler: (address: string, coldMs: number) => void) => void;
  /** Reads the state of an engine. */
  readonly readReport: (engine: BackendEntry) => Promise<EngineReport | undefined>;
  /** Probes a server for liveness and for the progress of its calls. */
  readonly probeServer: (server: Pick<BackendEntry, 'id' | 'address'>) => Promise<ProbeResult>;
  /** Sends an order to load weights. */
  readonly sendOrder: (engine: BackendEntry, order: WeightOrder) => Promise<OrderOutcome>;
  /** Copies the memory of a run to another engine. */
  readonly moveRun: (engine: Pick<BackendEntry, 'id' | 'address'>, move: RunMove) => Promise<MoveAnswer>;
  /** Frees the memory of a stopped or copied run that does not continue from it; resolves to false when that failed. */
  readonly freeHandle: (address: string, handle: string) => Promise<boolean>;
  /** Frees pieces of a store if its boot id is still `bootId`; resolves to false when that failed. */
  readonly freePieces: (
    address: string,
    bootId: string,
    pieces: readonly { readonly scope: string; readonly piece: string }[],
  ) => Promise<boolean>;
  /**
   * Reads the events after position `since` of the process `bootId`, waiting up to `waitMs` milliseconds; `full` when the engine accepts no
   * more readers. A page of that process with events up to `since` is no usable answer.
   */
  readonly readEvents: (
    address: string,
    since: number,
    waitMs: number,
    bootId?: string,
  ) => Promise<CacheEventsPage | 'full' | undefined>;
}
