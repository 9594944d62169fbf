import type { BrokenCall } from './broken-call.js';

/** A confirmed crash of a backend server, with calls of this host that it broke off. */
export interface ServerCrash {
  readonly server: string;
  /** Start time of the crashed process, wall-clock milliseconds. */
  readonly bornMs: number;
  /** Time of the first broken call, monotonic milliseconds. */
  readonly atMs: number;
  readonly calls: readonly BrokenCall[];
}
