/** A request to copy the memory of a run to another engine. */
export interface RunMove {
  readonly callId: string;
  readonly targetAddress: string;
  /** The engine stops the run first and closes its stream, so that it can continue elsewhere. */
  readonly isLast: boolean;
}
