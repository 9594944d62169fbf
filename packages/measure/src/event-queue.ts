/** Future events of a simulation in order of time; equal times keep the order in which they were scheduled. */
export interface EventQueue {
  readonly getNowMs: () => number;
  readonly schedule: (delayMs: number, handler: () => void) => void;
  /** Runs events until none is left or the time is reached. */
  readonly runUntil: (endMs: number) => void;
}
