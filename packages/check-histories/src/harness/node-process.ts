/** A running node, in this process or in one of its own. */
export interface NodeProcess {
  readonly callersUrl: string;
  readonly operatorsUrl: string;
  readonly meshAddress: string;
  /** Stops the node gracefully. */
  readonly stop: () => Promise<void>;
  /** Ends, halts or continues the process of the node; absent for a node in this process. */
  readonly sendSignal?: ((signal: 'SIGKILL' | 'SIGSTOP' | 'SIGCONT') => void) | undefined;
}
