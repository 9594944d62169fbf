import type { Choice } from '@laburnumshift/choose-server';
import type { PlacementQuestion } from '@laburnumshift/forward-types';
import { estimateHeldTokens } from '@laburnumshift/place-calls';
import type { CallWork } from '@laburnumshift/track-engines';

/** Estimates the load of a placed call on its server, tokens. */
export function estimateWork(
  { prompt }: PlacementQuestion,
  { uncachedTokens }: Extract<Choice, { kind: 'server' }>,
): CallWork {
  return { uncachedTokens, totalTokens: prompt === undefined ? 0 : estimateHeldTokens(prompt) };
}
