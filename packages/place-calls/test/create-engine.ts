import type { EngineCandidate } from '@laburnumshift/place-calls';

/** Creates an idle engine with an empty cache; `changes` replaces single fields. */
export const createEngine = (id: string, changes: Partial<EngineCandidate> = {}): EngineCandidate => ({
  id,
  failureDomain: 'north',
  waitMs: 0,
  calls: 0,
  slots: 12,
  localTokens: 0,
  fetchTokens: 0,
  fetchSlowdown: 1,
  heldTokens: 0,
  capacityTokens: 100_000,
  failureShare: 0,
  isSilent: false,
  isOutdated: false,
  ...changes,
});
