/** Time bounds and limits that the deployment sets. */
export interface ForwardBounds {
  /** A key that was taken away must not work longer than this, milliseconds; `undefined` when stale views may serve. */
  readonly revokeMs: number | undefined;
  /** A configuration must be in force so long after it was accepted, milliseconds. */
  readonly configApplyMs: number;
  /** A leaving server may get calls for so long, milliseconds. */
  readonly drainMs: number;
  /** Time between a stop signal and the kill, milliseconds. */
  readonly graceMs: number;
  /** Weights must be in force so long after they were named, milliseconds. */
  readonly versionMs: number;
  /** Orders of two holders must be apart by this, milliseconds. */
  readonly leaseMs: number;
  /** Repeats allowed for each call in a window. */
  readonly resendRatio: number;
  readonly resendWindowMs: number;
  /** Repeats of the whole fleet in a window beyond the ratio. */
  readonly resendSlack: number;
}
