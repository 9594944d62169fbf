/** Share of the bound on revoked keys from which on keyed calls are better served elsewhere. */
const READY_AGE_SHARE = 0.6;

/** Whether the host takes new connections. */
export function isHostReady(state: {
  readonly isDraining: boolean;
  /** Routes, servers and weights are known. */
  readonly isComplete: boolean;
  readonly configAgeMs: number;
  readonly revokeMs: number | undefined;
}): boolean {
  if (state.isDraining || !state.isComplete) return false;
  return state.revokeMs === undefined || state.configAgeMs <= state.revokeMs * READY_AGE_SHARE;
}
