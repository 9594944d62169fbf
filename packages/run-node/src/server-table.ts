/** State of the plain service instances as one node sees it. */
export interface ServerTable {
  /** False for a server that is leaving or failed. */
  readonly isUsable: (server: string) => boolean;
  /** Calls that run and wait on a server. */
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
