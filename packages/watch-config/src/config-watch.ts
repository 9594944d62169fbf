import type { Config, ConfigHead } from '@laburnumshift/types';

/** Access to the current configuration of this node. */
export interface ConfigWatch {
  /** Returns the current configuration; `undefined` until the first one is received. */
  readonly getConfig: () => Config | undefined;
  /** Returns the head of the current configuration; `undefined` until the first one is received. */
  readonly getHead: () => ConfigHead | undefined;
  /**
   * Calls the handler with the current configuration, if any, and with each new one. The returned function removes it.
   */
  readonly onConfig: (handler: (config: Config) => void) => () => void;
  /**
   * True when neither the platform nor any peer has answered for 10 s. The node can then not know the current
   * configuration and must accept no new work.
   */
  readonly isStale: () => boolean;
  /** Calls the handler each time the result of `isStale` changes. The returned function removes it. */
  readonly onStaleChange: (handler: (stale: boolean) => void) => () => void;
  readonly close: () => void;
}
