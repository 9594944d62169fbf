/** Options of `trackEvacuations`. */
export interface EvacuationsOptions {
  /** Called when an evacuation of the failure domain began or ended. */
  readonly onChange: (failureDomain: string) => void;
  /** Lists the failure domains of all registered servers. */
  readonly listDomains: () => ReadonlySet<string>;
  /** Returns the milliseconds since the end of the last outage or restore of the store; infinite without one. */
  readonly getMsSinceRecovery: () => number;
}
