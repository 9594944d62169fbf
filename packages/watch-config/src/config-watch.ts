import type { Config, ConfigHead } from '@laburnumshift/types';

/** The configuration in force on this node. */
export interface ConfigWatch {
  /** The configuration in force; absent until the first one is known. */
  readonly getConfig: () => Config | undefined;
  readonly getHead: () => ConfigHead | undefined;
  /** Calls the handler with each new configuration, and at once when there is one. The returned function removes it. */
  readonly onConfig: (handler: (config: Config) => void) => () => void;
  /**
   * True when neither the platform nor any peer has answered for 10 s. The node can no longer know what is in force and
   * must take no new work.
   */
  readonly isStale: () => boolean;
  /** Calls the handler each time the answer of `isStale` changes. The returned function removes it. */
  readonly onStaleChange: (handler: (stale: boolean) => void) => () => void;
  readonly close: () => void;
}
