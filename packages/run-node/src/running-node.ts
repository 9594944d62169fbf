/** The addresses of a running node and the function that stops it. */
export interface RunningNode {
  readonly callersUrl: string;
  readonly operatorsUrl: string;
  /** Address in the node mesh, as `IP:port`. */
  readonly meshAddress: string;
  /** Drains and stops the node; resolves when everything is closed. Further calls return the same promise. */
  readonly stop: () => Promise<void>;
  /** Resolves when the node has stopped, also when an operator drained it. */
  readonly stopped: Promise<void>;
}
