import type { OutputKind, PlainCallKind } from '@laburnumshift/estimate-cost';
import type { PromptMetadata } from '@laburnumshift/forward-types';

/** The expected cost of a call, from what this host has learned. */
export interface CallEstimate {
  /** Group of calls whose times are averaged. */
  readonly callKind: PlainCallKind;
  /** Time that a plain call takes at a server of usual speed, milliseconds; `undefined` when unknown and for calls with a prompt. */
  readonly costMs: number | undefined;
  readonly outputKind: OutputKind;
  /** Estimate of the caller of its output, tokens; `undefined` when it states none. */
  readonly hintTokens: number | undefined;
  /** The same, corrected by what such calls produced; 0 without an estimate. */
  readonly expectedTokens: number;
  /** The prompt with the corrected estimate. */
  readonly prompt: PromptMetadata | undefined;
}
