/** An entry daemon as the load balancer sees it. */
export interface EntryPoint {
  readonly host: string;
  readonly callersUrl: string;
  readonly operatorsUrl: string;
}
