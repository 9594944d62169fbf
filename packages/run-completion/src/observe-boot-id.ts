import type { EngineClient } from '@laburnumshift/types';
import { probeEngine } from './probe-engine.js';
import type { RunState } from './run-state.js';

/**
 * Records the boot id of an engine; a later change of it shows a crash. An isolated run waits for the current id, because
 * an outdated one would convict the request for a restart that it did not cause. Other runs read the id only when it is
 * unknown, and do so while the stream is running.
 */
export async function observeBootId(state: RunState, name: string, engine: EngineClient): Promise<void> {
  const { bootIds } = state.deps;
  if (!state.isolated && bootIds.has(name)) return;
  const probe = probeEngine(engine, undefined).then(({ bootId }) => {
    if (bootId !== undefined && (state.isolated || !bootIds.has(name))) bootIds.set(name, bootId);
  });
  if (state.isolated) await probe;
}
