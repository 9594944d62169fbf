/** An order to an engine to load a weight version. */
export interface WeightOrder {
  readonly model: string;
  readonly version: number;
  /** Running calls continue under the new weights; otherwise the engine lets them finish first. */
  readonly keepsRuns: boolean;
  /** Host that sends the order: the holder of the lease. */
  readonly holder: string;
  /** Fencing token of the lease. */
  readonly fencing: number;
  /** Number of orders that the engine is expected to have accepted so far; it refuses the order when its count differs. */
  readonly expectedOrders: number;
}
