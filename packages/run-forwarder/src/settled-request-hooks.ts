/** Exchange between load sharing and the placement requests that hosts send to home hosts. */
export interface SettledRequestHooks {
  /** Returns the number up to which all placement requests of this host are settled. */
  readonly getSettled: () => number;
  /** Called when a host has settled its requests up to a number: the load that it reports includes the resulting calls. */
  readonly onSettled: (host: string, bornMs: number, settled: number) => void;
}
