import type { EntryPoint } from './entry-point.js';

/** A running entry daemon. */
export interface Daemon extends EntryPoint {
  readonly failureDomain: string;
  readonly meshAddress: string;
  /** Sends the signal and resolves when the process has ended. */
  readonly stop: (signal: 'SIGTERM' | 'SIGKILL') => Promise<void>;
}
