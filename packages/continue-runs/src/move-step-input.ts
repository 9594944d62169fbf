/** Input of the decision after an answer to a request to copy a run. */
export interface MoveStepInput {
  /** `copy` while the run goes on; `stop` for the request that stops it. */
  readonly phase: 'copy' | 'stop';
  readonly answer: 'copied' | 'no-run' | 'busy' | 'no-capacity' | 'lost';
  /** The engine kept the memory of the run after it had stopped it. */
  readonly isKeptAtSource: boolean;
  /** Requests of this phase that were answered, with this one. */
  readonly tries: number;
}
