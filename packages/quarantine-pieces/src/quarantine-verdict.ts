/**
 * Whether a call may be sent to a server. `trial`: it has a convicted trait, and tests whether it still crashes servers. `refused`: it has
 * a convicted trait, and must not be sent.
 */
export type QuarantineVerdict =
  | { readonly kind: 'allowed' }
  | { readonly kind: 'trial' }
  | {
      readonly kind: 'refused';
      readonly trait: string;
      /** Moments at which servers crashed under the trait. */
      readonly crashes: number;
      /** Time until a call may test the trait, milliseconds. */
      readonly retryAfterMs: number;
    };
