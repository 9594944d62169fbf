/** Whether a call may run now. */
export type CallPermit =
  | {
      readonly kind: 'admitted';
      /** Ends the call and corrects the token estimate by what was used; later calls have no effect. */
      readonly release: (usedTokens?: number) => void;
    }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };
