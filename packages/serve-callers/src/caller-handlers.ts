import type {
  CallAnswer,
  Config,
  JournalDecision,
  JournalLook,
  Refusal,
  Result,
  RunItem,
} from '@laburnumshift/types';
import type { AuthenticatedCall } from './authenticated-call.js';
import type { AuthenticatedCompletion } from './authenticated-completion.js';

/** Handlers that the caller-facing server passes requests to. */
export interface CallerHandlers {
  readonly getConfig: () => Config | undefined;
  readonly isReady: () => boolean;
  /** Reads a new or an existing run; the signal aborts when the caller disconnects. */
  readonly runCompletion: (request: AuthenticatedCompletion, signal: AbortSignal) => AsyncIterable<RunItem>;
  /** Runs a plain service call; the signal aborts when the caller disconnects. */
  readonly runCall: (request: AuthenticatedCall, signal: AbortSignal) => Promise<Result<CallAnswer, Refusal>>;
  /** Looks up the state of the account's own call under a key. */
  readonly findOutcome: (look: JournalLook) => Promise<Result<JournalDecision, Refusal>>;
}
