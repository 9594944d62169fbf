import type { PromptMetadata } from '@laburnumshift/forward-types';

/** Share of the maximum output that a call usually makes; used when the caller gives no estimate. */
const DEFAULT_OUTPUT_SHARE = 0.35;

/** Estimates the output of a call, tokens. */
export function estimateOutputTokens({ expectedOutputTokens, maxOutputTokens }: PromptMetadata): number {
  return Math.min(expectedOutputTokens ?? maxOutputTokens * DEFAULT_OUTPUT_SHARE, maxOutputTokens);
}
