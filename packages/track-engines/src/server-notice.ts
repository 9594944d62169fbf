/** An announcement of a backend server that it is leaving or wants a pause, in the form that hosts exchange. */
export interface ServerNotice {
  readonly server: string;
  /** Start time of the server process that made the announcement, wall-clock milliseconds. */
  readonly bornMs: number;
  readonly isLeaving: boolean;
  /** Remaining pause that it asked the refused host for, milliseconds; 0 for none. */
  readonly pauseMs: number;
  /** Milliseconds since the announcement. */
  readonly ageMs: number;
}
