import type { PromptMetadata } from '@laburnumshift/forward-types';

/** Share of the maximum output that a call usually produces; used when the caller gives no estimate. */
const DEFAULT_OUTPUT_SHARE = 0.35;
/**
 * Average share of the expected output that is in memory during a run. Growing output takes 0.5 on average; the rest allows for
 * estimates of long outputs, which are often too low.
 */
const AVERAGE_OUTPUT_SHARE = 0.7;

/** Estimates the average number of tokens that a call holds in an engine's memory while it runs. */
export function estimateHeldTokens(prompt: PromptMetadata): number {
  const output = prompt.expectedOutputTokens ?? prompt.maxOutputTokens * DEFAULT_OUTPUT_SHARE;
  return prompt.inputTokens + Math.min(output, prompt.maxOutputTokens) * AVERAGE_OUTPUT_SHARE;
}
