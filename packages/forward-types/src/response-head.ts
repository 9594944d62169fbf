import type { BackendLoad } from './backend-load.js';

/** The decoded head of a backend server's HTTP answer. */
export interface ResponseHead {
  readonly status: number;
  /** Id of the call that the server answers; `undefined` when it is not echoed. */
  readonly callId: string | undefined;
  /** The server marked the answer as its own; a success without the mark did not come from the server. */
  readonly isSealed: boolean;
  /** The server states that it did not run the call and will not run it later. */
  readonly isNotExecuted: boolean;
  /** The server is not the expected process, or does not have the expected weights. */
  readonly isWrongInstance: boolean;
  /** The server is leaving: it finishes the calls that it has and must get no further ones. */
  readonly isLeaving: boolean;
  /** Pause that a refusing server asks this host for, milliseconds; `undefined` when not stated. */
  readonly pauseMs: number | undefined;
  /** Calls a second that the server takes from all hosts together; `undefined` when it states no limit. */
  readonly limitPerS: number | undefined;
  /** Time for which the server stays cold, milliseconds; absent when not stated. */
  readonly coldMs?: number | undefined;
  /** The server states a limit that cannot be read, so the one before it stays in force. */
  readonly isLimitUnreadable: boolean;
  /** The body has a length or is chunked. Otherwise it ends with the connection, and a truncated body cannot be told from a complete one. */
  readonly hasLength: boolean;
  /** The server closes the connection after this answer. */
  readonly isClosing: boolean;
  /** The body has a content coding that the caller did not ask for. */
  readonly hasContentCoding: boolean;
  /** Load of the server; `undefined` when not stated. */
  readonly load: BackendLoad | undefined;
  /** The server states a load that cannot be read. */
  readonly isLoadUnreadable?: boolean;
  /** Weight version that produced the answer; `undefined` when not stated. */
  readonly version: number | undefined;
  /** Header fields passed on to the caller, names and values alternating, without hop-by-hop fields. */
  readonly forwardedHeaders: readonly string[];
}
