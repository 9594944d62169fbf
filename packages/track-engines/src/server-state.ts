import type { BackendLoad } from '@laburnumshift/forward-types';

/** Load and health of a backend server, as known to one host. */
export interface ServerState {
  /** Calls of this host that have not ended. */
  readonly inFlight: number;
  /** Uncached prompt tokens of this host's calls that have had no event yet. */
  readonly pendingTokens: number;
  /** Tokens that this host's calls hold in memory: the prompts and a share of the outputs. */
  readonly heldTokens: number;
  /** Load that the server reported with its last answer; `undefined` before the first one. */
  readonly load: BackendLoad | undefined;
  /** Factor by which work takes longer than usual at the server, from its recent reports; 1 without any. */
  readonly slowness: number;
  /** The server has reported its slowness within the last 10 s. */
  readonly isSlownessKnown: boolean;
  /** Most calls that the queue of the server holds, from its recent refusals; `undefined` when unknown. */
  readonly queueLimit: number | undefined;
  /** Age of `load`, milliseconds; infinite without one. */
  readonly loadAgeMs: number;
  /** Calls of this host that were in flight when `load` was received. */
  readonly inFlightAtLoad: number;
  /** Milliseconds since the last received byte while calls are in flight; 0 without calls. */
  readonly silentMs: number;
  /** Share of recent calls that failed through the server's fault, 0 to 1. */
  readonly failureShare: number;
  /** The server refused or reset connections and gets no calls for now. */
  readonly isAvoided: boolean;
}
