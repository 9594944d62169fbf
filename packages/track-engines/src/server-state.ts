import type { BackendLoad } from '@laburnumshift/forward-types';

/** What one host knows of a backend server's work. */
export interface ServerState {
  /** Own calls without an end. */
  readonly inFlight: number;
  /** Prompt tokens of own calls that wait for their first event and were not expected in the cache. */
  readonly pendingTokens: number;
  /** Tokens in memory for own calls: prompt and a share of the output. */
  readonly heldTokens: number;
  /** Load as told with the last answer, and its age in milliseconds. */
  readonly load: BackendLoad | undefined;
  readonly loadAgeMs: number;
  /** Own calls that were in flight when the load was told. */
  readonly inFlightAtLoad: number;
  /** Milliseconds for which calls are in flight and nothing was received; 0 without calls. */
  readonly silentMs: number;
  /** Share of recent calls that failed by the server's fault, 0 to 1. */
  readonly failureShare: number;
  /** The server refused or broke connections and gets no calls for now. */
  readonly isAvoided: boolean;
}
