/** A crash of one process of a backend server. */
export interface CrashRecord {
  readonly server: string;
  /** Start time of the crashed process, wall-clock milliseconds. */
  readonly bornMs: number;
  /** Time of the crash, monotonic milliseconds of this host. */
  readonly atMs: number;
}
