/** Expected time of a call of a plain service at a server of usual speed without a queue. */
export interface PlainCost {
  /** Time of this call, milliseconds. */
  readonly callMs: number;
  /** Mean time of the calls of its service, milliseconds. */
  readonly meanMs: number;
}
