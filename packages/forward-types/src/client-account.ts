export interface ClientAccount {
  readonly name: string;
  /** Overrides the priority of the route when set; 0 is the most urgent. */
  readonly priority?: number | undefined;
  /** The account's KV cache is not shared with other accounts. */
  readonly isIsolated: boolean;
}
