/** Sends matching requests to a pool. The first matching rule in order wins. */
export interface RouteConfig {
  readonly name: string;
  /** Rules with a lower order are tried first; ties by name. */
  readonly order: number;
  readonly service: string;
  /** Restricts the rule to these client accounts; absent means all. */
  readonly accounts?: readonly string[] | undefined;
  readonly pool: string;
}
