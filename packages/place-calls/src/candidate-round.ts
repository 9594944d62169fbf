/** Engines that are compared with each other for one call. */
export interface CandidateRound<T> {
  readonly listEngines: () => readonly T[];
  /** The best engine of this round is used only when its queue is at most this long, milliseconds. */
  readonly maxQueueMs: number;
}
