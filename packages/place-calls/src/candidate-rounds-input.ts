/** What the choice of the engines to compare depends on. */
export interface CandidateRoundsInput<T> {
  readonly engines: readonly T[];
  /** The failure domain of which this host is the home host; `undefined` when it is none. */
  readonly homeDomain: string | undefined;
  /** Rendezvous key of the prompt. */
  readonly affinityKey: string;
  /** Tells whether the engine has the prompt's prefix in its cache. */
  readonly hasPrefix: (engine: T) => boolean;
  /** Returns a number from 0 to 1. */
  readonly pickRandom: () => number;
}
