/** A size of the whole system. Rates are per second unless the name says otherwise. */
export interface Scenario {
  readonly nodes: number;
  readonly domains: number;
  readonly pools: number;
  readonly engines: number;
  readonly stores: number;
  readonly plainServers: number;
  readonly accounts: number;
  readonly requests: number;
  readonly tokens: number;
  readonly prompts: number;
  readonly piecesPerPrompt: number;
  /** Non-idempotent calls. */
  readonly calls: number;
  readonly journalShards: number;
  readonly changesPerDay: number;
  /** Host failures and restarts of nodes. */
  readonly restartsPerDay: number;
}
