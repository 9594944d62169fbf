/** Memory of a run at another engine, from which the same call continues. */
export interface RunContinuation {
  /** Address of the engine that ran the call before. */
  readonly sourceAddress: string;
  /** Id of the memory there: the id of the call for a copy, the handle for a moved run. */
  readonly memoryId: string;
}
