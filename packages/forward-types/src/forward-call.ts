import type { PromptShape } from './prompt-shape.js';

/** One attempt of a caller, decoded. */
export interface ForwardCall {
  /** Unique for each attempt of a caller. */
  readonly id: string;
  readonly method: string;
  /** Path and query, passed on unchanged. */
  readonly target: string;
  readonly hostName: string;
  /** How long the caller waits from the arrival of the call, milliseconds; `undefined` when not told. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  /** `undefined` for calls of plain services. */
  readonly prompt: PromptShape | undefined;
  /** Last event that the caller of a resumed stream has. */
  readonly lastEventId: string | undefined;
  /** Header fields that are passed on as they came: names and values in turn. */
  readonly passedHeaders: readonly string[];
}
