/** A call that was sent to a backend server. */
export interface TrackedCall {
  /** Records that bytes of the answer were received. */
  readonly observeBytes: () => void;
  /** Records the first event: the engine has prefilled the prompt, whose pieces are in its cache from now on. */
  readonly observeFirstEvent: () => void;
  /** Ends the call; further calls of this function have no effect. Only `served` and `failed` change the failure share. */
  readonly finish: (result: CallResult) => void;
}

type CallResult = 'served' | 'failed' | 'refused' | 'cancelled';
