/** Time bounds and limits set by the deployment. */
export interface ForwardBounds {
  /** Longest time for which a revoked key may still work, milliseconds; `undefined` when stale configuration may be used. */
  readonly revokeMs: number | undefined;
  /** Longest time from the acceptance of a configuration until it is applied, milliseconds. */
  readonly configApplyMs: number;
  /** Longest time for which a leaving server may still get calls, milliseconds. */
  readonly drainMs: number;
  /** Longest time for which servers of an evacuated failure domain may still get calls, milliseconds; `undefined` without evacuations. */
  readonly evacuateMs: number | undefined;
  /** Factor by which the calls to a cold server may exceed its sustained rate in any second. */
  readonly coldOver: number;
  /** Calls to a cold server allowed in any second in addition to that. */
  readonly coldSlack: number;
  /** Time after the end of a fault of a host or of the store from which on the host keeps its bounds again, milliseconds. */
  readonly settleMs: number;
  /** Time from the termination signal to the kill, milliseconds. */
  readonly graceMs: number;
  /** Longest time from the publication of weights until calls run under them, milliseconds. */
  readonly versionMs: number;
  /** Least time between the orders of two successive lease holders, milliseconds. */
  readonly leaseMs: number;
  /** Resends allowed per call within a window. */
  readonly resendRatio: number;
  /** Length of the window, milliseconds. */
  readonly resendWindowMs: number;
  /** Resends that the whole fleet may send in a window in addition to the ratio. */
  readonly resendSlack: number;
}
