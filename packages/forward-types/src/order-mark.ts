/** Tells all hosts of an order to an engine. */
export interface OrderMark {
  /** Host that sends the order. */
  readonly holder: string;
  readonly model: string;
  readonly version: number;
  /** The engine has the version. False: the engine takes no calls until it has. */
  readonly isDone: boolean;
}
