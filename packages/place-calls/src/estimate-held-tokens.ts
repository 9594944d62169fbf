import type { PromptShape } from '@laburnumshift/forward-types';

/** Part of the most output that a call usually makes, where the caller gives no estimate. */
const USUAL_SHARE = 0.35;
/** Output is in memory for half of the run on average; estimates of long outputs are often too low. */
const HELD_SHARE = 0.7;

/** Estimates the tokens that a call holds in an engine's memory while it runs, on average. */
export function estimateHeldTokens(prompt: PromptShape): number {
  const output = prompt.expectedOutputTokens ?? prompt.maxOutputTokens * USUAL_SHARE;
  return prompt.inputTokens + Math.min(output, prompt.maxOutputTokens) * HELD_SHARE;
}
