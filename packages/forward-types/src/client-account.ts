/** A client account. */
export interface ClientAccount {
  readonly name: string;
  /** Goes before the priority of the route when set; 0 is the most urgent. */
  readonly priority?: number | undefined;
  /** Shares no KV cache with other accounts. */
  readonly isIsolated: boolean;
}
