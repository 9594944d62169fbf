/**
 * Result of probing a backend server. `silent`: it did not answer. `gone`: another process answers at its address. `alive`: it answered;
 * figures that it did not state are `undefined`.
 */
export type ProbeResult =
  | { readonly kind: 'silent' }
  | { readonly kind: 'gone' }
  | {
      readonly kind: 'alive';
      /** Calls that wait for a slot. */
      readonly waiting: number | undefined;
      /** Calls that run. */
      readonly running: number | undefined;
      /** Events produced so far by each running call, by call id. */
      readonly runs: ReadonlyMap<string, number> | undefined;
    };
