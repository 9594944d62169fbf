import type {
  CallAnswer,
  Config,
  JournalDecision,
  JournalLook,
  Refusal,
  Result,
  RunItem,
} from '@laburnumshift/types';
import type { CallerCall } from './caller-call.js';
import type { CallerCompletion } from './caller-completion.js';

/** The work behind the caller-facing server. */
export interface CallerHandlers {
  readonly getConfig: () => Config | undefined;
  readonly isReady: () => boolean;
  /** Follows a new or an existing run; the signal aborts when the caller goes away. */
  readonly runCompletion: (request: CallerCompletion, signal: AbortSignal) => AsyncIterable<RunItem>;
  readonly runCall: (request: CallerCall, signal: AbortSignal) => Promise<Result<CallAnswer, Refusal>>;
  readonly findOutcome: (look: JournalLook) => Promise<Result<JournalDecision, Refusal>>;
}
