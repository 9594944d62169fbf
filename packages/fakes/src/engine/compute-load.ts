import { readWallMs } from '@laburnumshift/clock';
import type { EngineLoad } from '@laburnumshift/types';
import type { EngineState } from './engine-state.js';

/** Computes the load now. `queued_tokens` are prompt tokens not yet computed, `running_tokens` output tokens not yet sent. */
export function computeLoad(state: EngineState): EngineLoad {
  const runs = [...state.boot.runs];
  const { running } = state.boot.slots;
  const waiting = runs.filter((run) => run.promptTokens > 0);
  return {
    boot_id: state.boot.id,
    at: readWallMs(),
    weight_version: state.weightVersion,
    adapters: state.adapters,
    role: state.role,
    leaving: state.faults.leaving,
    loading: state.loading,
    running,
    queued_tokens: waiting.reduce((sum, run) => sum + run.promptTokens, 0),
    running_tokens: runs.reduce((sum, run) => sum + run.outputLeft, 0),
    slots: state.settings.slots,
    other_share: state.faults.otherShare,
    last_fencing: state.lastFencing,
  };
}
