/** A call that was handed to a backend server. */
export interface TrackedCall {
  /** Any byte of the answer came. */
  readonly observeBytes: () => void;
  /** The prompt was read; its pieces are in the engine's cache from now on. */
  readonly observeFirstEvent: () => void;
  readonly finish: (result: CallResult) => void;
}

type CallResult = 'served' | 'failed' | 'refused' | 'cancelled';
