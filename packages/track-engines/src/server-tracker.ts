import type { BackendLoad, PromptPiece } from '@laburnumshift/forward-types';
import type { CallObservations } from './call-observations.js';
import type { CallWork } from './call-work.js';
import type { CacheFetch } from './cache-fetch.js';
import type { OutstandingWork } from './outstanding-work.js';
import type { PieceTable } from './piece-table.js';
import type { ServerCondition } from './server-condition.js';
import type { ServerState } from './server-state.js';
import type { TrackedCall } from './tracked-call.js';

/** Load, health and cached pieces of all backend servers, as known to this host. */
export interface ServerTracker {
  /** Records that a call is sent to a server. */
  readonly beginCall: (server: string, work: CallWork) => TrackedCall;
  readonly getState: (server: string) => ServerState;
  /**
   * Returns the work that this host's calls still have to do at a server.
   *
   * @param runningShare share of the calls at the server that run, 0 to 1
   */
  readonly getOutstandingWork: (server: string, runningShare: number) => OutstandingWork;
  /** Records the load that a server reported with an answer. `isFull` when the answer refused a call because the queue is full. */
  readonly observeLoad: (server: string, load: BackendLoad, isFull?: boolean) => void;
  /** Records the condition that a server reported to another host. */
  readonly observeCondition: (condition: ServerCondition) => void;
  /** Lists the recent conditions of servers, at most 64, the newest first. */
  readonly listConditions: () => readonly ServerCondition[];
  /** Counts a load report that could not be read; returns how many the server has sent. */
  readonly recordUnreadableLoad: (server: string) => number;
  /** Returns the recent prefill rate of a service's engines, prompt tokens per millisecond. */
  readonly getPrefillRate: (service: string) => number;
  /** Records that an engine sent a first event `ms` milliseconds after it got `tokens` to prefill, those queued before included. */
  readonly observePrefill: (service: string, tokens: number, ms: number) => void;
  /** Returns the recent average time for which a call of a service occupies a slot, milliseconds. */
  readonly getRunMs: (service: string) => number;
  /** Records the time for which a call of a service occupied a slot, milliseconds. */
  readonly observeRun: (service: string, ms: number) => void;
  /** Returns the recent rate at which this host's calls fetch cached pieces from an address, tokens per millisecond. */
  readonly getFetchRate: (source: string) => number;
  /** Records that a call of this host fetches `tokens` from an address. */
  readonly observeFetch: (source: string, tokens: number) => void;
  /** Records that the first event of a call that fetched pieces came `excessMs` milliseconds later than expected. */
  readonly observeFetchDelay: (fetch: CacheFetch, excessMs: number) => void;
  /**
   * Returns the factor by which recent fetches from an address took longer than on idle links, 1 or more.
   *
   * @param fetchPerMs tokens that an idle link carries per millisecond
   */
  readonly getFetchSlowdown: (source: string, fetchPerMs: number) => number;
  /** Avoids a server that refused a connection or reset calls: it gets no new calls for `ms` milliseconds while others are left. */
  readonly avoidServer: (server: string, ms: number) => void;
  /** Records an answer that did not end; returns how many the server has sent since a call of this host was served. */
  readonly recordEndlessAnswer: (server: string) => number;
  /** Returns the table of cached pieces of an engine or a store. */
  readonly getPieceTable: (server: string) => PieceTable;
  /** Records that a call was placed on an engine, which will have these pieces in its cache. */
  readonly expectPieces: (server: string, scope: string, pieces: readonly PromptPiece[]) => void;
  /** Returns the tokens of a piece that an engine has cached, or is expected to have when it starts a call placed now; 0 without any. */
  readonly countCachedTokens: (server: string, scope: string, piece: string) => number;
  /** Lists, for each server with calls of this host, its id and their number, pending tokens and held tokens. */
  readonly listLoads: () => (readonly [string, number, number, number])[];
  /** Lists, for each server with calls of this host whose expected time is known, its id, their number and what they still take. */
  readonly listWork: () => (readonly [string, number, number])[];
  /** Calls the handler when the load of this host's calls changed. */
  readonly watchLoads: (handler: () => void) => void;
  /** Returns and clears the observations of this host's calls since the last call of this function, to be sent to other hosts. */
  readonly drainObservations: () => CallObservations;
  /** Adds the observations of another host's calls. Results of servers without any state at this host are ignored. */
  readonly addObservations: (observations: CallObservations) => void;
  /** Returns a tracker with the same answers whose functions for the choice of a server change nothing, to explain a choice. */
  readonly getReader: () => ServerTracker;
  /** Removes all state of a server that was removed from the fleet. */
  readonly removeServer: (server: string) => void;
}
