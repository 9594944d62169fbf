import type { BackendCall, BackendEntry } from '@laburnumshift/forward-types';
import type { SuspectCall } from '@laburnumshift/quarantine-pieces';
import type { CallWork } from '@laburnumshift/track-engines';
import type { EventSplitter } from './event-splitter.js';
import type { MatchedCall } from './matched-call.js';
import type { RunWeights } from './run-weights.js';

/** Parameters of one attempt to send a call to a backend server. */
export interface AttemptInput {
  readonly matchedCall: MatchedCall;
  /** The call as the quarantine sees it; all attempts of one call share it. */
  readonly suspectCall: SuspectCall;
  readonly server: BackendEntry;
  /** Limit on the connections from this host to the server. */
  readonly maxConnections: number;
  readonly backendCall: BackendCall;
  /** Tokens by which the call increases the tracked load of the server. */
  readonly work: CallWork;
  /** Expected time until the first event of a stream, in milliseconds; 0 when unknown. */
  readonly expectedMs: number;
  /** Splits a streamed answer into events. All attempts of one call share it, so that a stream can be resumed. */
  readonly splitter: EventSplitter;
  /** Weights of the run; `undefined` for a call that never continues from its memory. */
  readonly runWeights: RunWeights | undefined;
  /** Returns whether another attempt can follow if this one is abandoned now. */
  readonly canRetry: () => boolean;
  /** The run continues at the engine that stopped it, which may be leaving. */
  readonly isReturning: boolean;
  /** Aborted when the server has stopped the run, so that its connection can be closed. */
  readonly stoppedSignal: AbortSignal | undefined;
  /** Called when the call gets a connection, for which it may have waited. */
  readonly onConnection: () => void;
  /** Called each time complete events are about to be written to the caller. */
  readonly onEvents: () => void;
  /** Called once, at the first event: the engine has then processed the prompt and cached its pieces. */
  readonly onFirstEvent: () => void;
}
