import type { NodeLife } from '../history/node-life.js';
import type { FleetNode } from './fleet-node.js';

/** The nodes of a run. */
export interface Fleet {
  /** Picks one of the nodes to which the load balancer sends; `undefined` when there is none. */
  readonly pickNode: (number: number) => FleetNode | undefined;
  /** Stops a node gracefully and starts it again. */
  readonly restartNode: (number: number) => Promise<void>;
  /** Kills the node that has a process of its own. */
  readonly killChild: () => Promise<void>;
  readonly reviveChild: () => Promise<void>;
  /** Pauses the node that has a process of its own until the returned function is called. */
  readonly pauseChild: () => () => void;
  readonly listLives: () => readonly NodeLife[];
  /** Nodes that run, with the addresses of their operator servers. */
  readonly listRunning: () => readonly FleetNode[];
  readonly close: () => Promise<void>;
}
