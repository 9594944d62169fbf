/** An order to an engine to take other weights. Runs finish first. */
export interface WeightOrder {
  readonly model: string;
  readonly version: number;
  readonly holder: string;
  readonly fencing: number;
  /** Orders that the engine has accepted so far; it refuses the order when it counts otherwise. */
  readonly expectedOrders: number;
}
