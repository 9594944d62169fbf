/** The caller-facing server of a node. */
export interface CallerServer {
  /** Address in use, `IP:port`. */
  readonly address: string;
  /** Refuses new work as `not run` and resolves when all requests in progress have their answers. */
  readonly drain: () => Promise<void>;
  /** Closes the port and all connections. */
  readonly close: () => Promise<void>;
  readonly getCounts: () => Readonly<
    Record<'active' | 'requests' | 'refused' | 'dropped' | 'stalled', number>
  >;
}
