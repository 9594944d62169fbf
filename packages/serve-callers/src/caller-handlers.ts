import type {
  CallResponse,
  Config,
  JournalDecision,
  JournalLookup,
  Refusal,
  Result,
  RunOutputItem,
} from '@laburnumshift/types';
import type { AuthenticatedCall } from './authenticated-call.js';
import type { AuthenticatedCompletion } from './authenticated-completion.js';

/** Handlers that the caller-facing server passes requests to. */
export interface CallerHandlers {
  readonly getConfig: () => Config | undefined;
  readonly isReady: () => boolean;
  /** Reads a new or an existing run; the signal aborts when the caller disconnects. */
  readonly runCompletion: (
    request: AuthenticatedCompletion,
    signal: AbortSignal,
  ) => AsyncIterable<RunOutputItem>;
  /** Runs a plain service call; the signal aborts when the caller disconnects. */
  readonly runCall: (
    request: AuthenticatedCall,
    signal: AbortSignal,
  ) => Promise<Result<CallResponse, Refusal>>;
  /** Looks up the state of the account's own call under a key. */
  readonly findOutcome: (look: JournalLookup) => Promise<Result<JournalDecision, Refusal>>;
}
