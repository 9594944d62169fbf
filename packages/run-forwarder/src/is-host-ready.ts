/** Fraction of the bound on key revocation above which calls with keys are better served by another host. */
const MAX_READY_AGE_RATIO = 0.6;

/** Returns true when the host accepts new connections, which is the result of its readiness check. */
export function isHostReady(state: {
  readonly isDraining: boolean;
  /** True when routes, servers and weights are known. */
  readonly isComplete: boolean;
  /** Age of the copy of the configuration; infinite when there is none. */
  readonly configAgeMs: number;
  /** Bound on the time until a revoked key is refused, in milliseconds; `undefined` when calls carry no keys. */
  readonly revokeMs: number | undefined;
}): boolean {
  if (state.isDraining || !state.isComplete) return false;
  return state.revokeMs === undefined || state.configAgeMs <= state.revokeMs * MAX_READY_AGE_RATIO;
}
