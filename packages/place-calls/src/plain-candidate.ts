/** A server of a plain service, which runs no model, that may get a call. */
export interface PlainCandidate {
  readonly id: string;
  readonly failureDomain: string;
  /** Calls that the server runs or has queued. */
  readonly calls: number;
  readonly slots: number;
  /** Factor by which work takes longer than usual at the server; 1 when unknown. */
  readonly slowness?: number;
  /** Time that the calls at the server still take at usual speed, milliseconds; `undefined` when unknown. */
  readonly outstandingMs?: number | undefined;
  /** Most calls that its queue holds; `undefined` when unknown. */
  readonly queueLimit?: number | undefined;
  /** Share of recent calls that failed, 0 to 1. */
  readonly failureShare: number;
  /** Calls are in flight, and nothing was received from the server for longer than the silence limit. */
  readonly isSilent: boolean;
}
