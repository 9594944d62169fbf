/** Participation of this host in updating the weights of engines. */
export interface WeightRollouts {
  /** Stops sending orders to engines. */
  readonly stop: () => void;
  /** Releases the lease, so that the next holder does not wait for its end. */
  readonly releaseLease: () => Promise<void>;
}
