/** A running entry daemon. */
export interface Daemon {
  readonly host: string;
  readonly failureDomain: string;
  readonly callersUrl: string;
  readonly operatorsUrl: string;
  readonly meshAddress: string;
  /** Sends the signal and resolves with the exit code when the process has ended. */
  readonly stop: (signal: 'SIGTERM' | 'SIGKILL') => Promise<number | null>;
}
