/** A running node. */
export interface RunningNode {
  readonly callersUrl: string;
  readonly operatorsUrl: string;
  /** `IP:port` of the node mesh. */
  readonly meshAddress: string;
  /** Drains and stops the node; resolves when everything is closed. Further calls return the same promise. */
  readonly stop: () => Promise<void>;
  /** Resolves when the node has stopped, for whatever reason. */
  readonly stopped: Promise<void>;
}
