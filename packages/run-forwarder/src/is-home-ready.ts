/** Fraction of the engines whose cache events must be read before a home host places the calls of other hosts. */
const MIN_READ_RATIO = 0.5;

/** Returns true when a relay has enough information to place the calls of other hosts. */
export function isHomeReady(state: {
  /** True when routes, servers and weights are known. */
  readonly isComplete: boolean;
  readonly isRelay: boolean;
  /** Number of engines in its failure domain, and of those whose cache events it reads. */
  readonly engines: number;
  readonly readEngines: number;
  /** Milliseconds for which it has been the first relay of its failure domain, that is, the home host; `undefined` while it is not. */
  readonly homeDurationMs: number | undefined;
  /** Milliseconds after which all hosts have reported their load to it. */
  readonly settleMs: number;
}): boolean {
  if (!state.isComplete || !state.isRelay) return false;
  if (state.readEngines < state.engines * MIN_READ_RATIO && (state.homeDurationMs ?? 0) < state.settleMs * 3)
    return false;
  return state.homeDurationMs === undefined || state.homeDurationMs >= state.settleMs;
}
