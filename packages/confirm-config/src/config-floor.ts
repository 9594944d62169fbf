/** The lowest version of the configuration that this host may rely on. */
export interface ConfigFloor {
  /** Whether the host must not rely on its configuration: other hosts knew a newer one before a restore of the store, or may know one. */
  readonly isBehind: () => boolean;
  /**
   * Returns an upper bound of the age of this host's configuration, milliseconds: as confirmed by the store to this host or to another one
   * that knew it. Infinite while this host is behind.
   */
  readonly getAgeMs: () => number;
  readonly close: () => void;
}
