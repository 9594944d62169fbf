/** Tokens for calls to one server, one a call. */
export interface TokenBucket {
  /** Adds the tokens since the last call of this method. `idleCapacity` holds while no call has lacked a token lately. */
  readonly refill: (tokensPerS: number, idleCapacity: number) => void;
  /** Returns the number of tokens that a call of `refill` now would leave. */
  readonly computeTokens: (tokensPerS: number, idleCapacity: number) => number;
  /** Returns the number of tokens, a fraction included. */
  readonly getTokens: () => number;
  /** Records that a call lacks a token. */
  readonly markWanted: () => void;
  readonly takeToken: () => void;
}
