import type { PromptPiece } from './prompt-piece.js';

/** What a call says of its prompt. */
export interface PromptShape {
  readonly model: string;
  readonly inputTokens: number;
  /** Upper bound of the output. */
  readonly maxOutputTokens: number;
  /** The caller's own estimate of the output; right at the median, often far off. `undefined` when not told. */
  readonly expectedOutputTokens: number | undefined;
  /** In the order of the prompt; the last piece belongs to the call or its session alone. */
  readonly pieces: readonly PromptPiece[];
}
