/** The state of the plain service instances that one node knows from polls and calls. */
export interface ServerTable {
  /** Returns false for a server that is leaving, has failed, or is not among the servers that this node uses. */
  readonly isUsable: (server: string) => boolean;
  /** Returns the number of running and queued calls in the last load report of a server, or 0 without a report. */
  readonly getQueue: (server: string) => number;
  readonly reportServer: (server: string, state: 'leaving' | 'failed') => void;
  readonly setLeaving: (names: ReadonlySet<string>) => void;
  readonly listStatus: () => readonly {
    readonly name: string;
    readonly usable: boolean;
    readonly queue: number;
  }[];
  readonly close: () => void;
}
