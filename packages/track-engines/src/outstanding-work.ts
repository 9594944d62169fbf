/** Work that calls still have to do at a server. */
export interface OutstandingWork {
  /** Calls whose expected time is known. */
  readonly calls: number;
  /** The time that these calls still take at a server of usual speed, milliseconds. */
  readonly ms: number;
}
