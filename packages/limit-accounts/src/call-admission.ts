/** The decision whether a call may run now; a refused call may be retried after `retryAfterMs`. */
export type CallAdmission =
  | {
      readonly kind: 'admitted';
      /** Ends the call and replaces the token estimate by the tokens used, if given. Only the first invocation has an effect. */
      readonly release: (usedTokens?: number) => void;
    }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };
