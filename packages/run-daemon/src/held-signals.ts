import type { DaemonSignal } from './daemon-signal.js';

/** Signals of this process that no longer have their default effect. */
export interface HeldSignals {
  /** Sets the handler of all signals. It first gets those that arrived before, in their order. */
  readonly setHandler: (handler: (signal: DaemonSignal) => void) => void;
  /** Restores the default effect of the signals. */
  readonly release: () => void;
}
