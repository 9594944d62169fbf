/**
 * Result of probing a backend server. `silent`: it did not answer. `gone`: another process answers at its address. `alive`: it answered;
 * figures that it did not state are `undefined`.
 */
export type ProbeResult =
  | {
      readonly kind: 'silent';
      /** No process listens at the address: the connection was refused. */
      readonly isRefused?: boolean;
    }
  | { readonly kind: 'gone' }
  | {
      readonly kind: 'alive';
      /** Start time of the process, wall-clock milliseconds. A restarted server may have the id of its earlier process. */
      readonly bornMs?: number | undefined;
      /** Calls that wait for a slot. */
      readonly waiting: number | undefined;
      /** Calls that run. */
      readonly running: number | undefined;
      /** Time until the server leaves, milliseconds; `undefined` unless it does. */
      readonly leavesInMs?: number | undefined;
      /** Events produced so far by each running call, by call id. */
      readonly runs: ReadonlyMap<string, number> | undefined;
    };
