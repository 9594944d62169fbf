/** A rule that routes matching requests to a pool. The first matching rule applies. */
export interface RouteConfig {
  readonly name: string;
  /** Rules with a lower number are tried first; rules with the same number are tried by name. */
  readonly order: number;
  readonly service: string;
  /** Restricts the rule to these client accounts; absent means all. */
  readonly accounts?: readonly string[] | undefined;
  readonly pool: string;
}
