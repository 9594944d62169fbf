import type { PromptMetadata } from './prompt-metadata.js';

/** A caller's request, decoded. */
export interface ForwardCall {
  /** Unique for each request; a caller that retries uses a new one. */
  readonly id: string;
  readonly method: string;
  /** Request target: path and query, forwarded unchanged. */
  readonly target: string;
  readonly hostName: string;
  /** Time that the caller waits from the arrival of the call, milliseconds; `undefined` when not stated. */
  readonly deadlineMs: number | undefined;
  /** API key of the caller; `undefined` when absent. */
  readonly key: string | undefined;
  /** `undefined` for calls of plain services. */
  readonly prompt: PromptMetadata | undefined;
  /** Id of the last event that the caller of a resumed stream has received. */
  readonly lastEventId: string | undefined;
  /** Header fields that are forwarded unchanged, names and values alternating. */
  readonly forwardedHeaders: readonly string[];
}
