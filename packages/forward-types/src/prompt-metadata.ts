import type { PromptPiece } from './prompt-piece.js';

/** Description of a prompt as stated by its call. */
export interface PromptMetadata {
  readonly model: string;
  readonly inputTokens: number;
  /** Upper bound of the output, tokens. */
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output, tokens; correct at the median but often far off. `undefined` when not stated. */
  readonly expectedOutputTokens: number | undefined;
  /** In the order of the prompt. The last piece belongs to the call or its session alone. */
  readonly pieces: readonly PromptPiece[];
}
