import type { EngineClient } from '@laburnumshift/types';
import { probeEngine } from './probe-engine.js';
import type { RunState } from './run-state.js';

/**
 * Learns the engine's boot id, by which a crash is recognised later. An isolated run waits for it, because an outdated id
 * would convict the request for a restart that it did not cause; others learn it beside the stream, and only when unknown.
 */
export async function observeBootId(state: RunState, name: string, engine: EngineClient): Promise<void> {
  const { bootIds } = state.deps;
  if (!state.isolated && bootIds.has(name)) return;
  const learning = probeEngine(engine, undefined).then(({ bootId }) => {
    if (bootId !== undefined && (state.isolated || !bootIds.has(name))) bootIds.set(name, bootId);
  });
  if (state.isolated) await learning;
}
