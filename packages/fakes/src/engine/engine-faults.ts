import type { StreamFault } from './stream-fault.js';

/** Fault switches of the fake engine; all can be changed at run time. */
export interface EngineFaults {
  /** Crashes when a run whose prompt contains this text starts; empty for none. */
  readonly crashMarker: string;
  /** Trigger: crashes now. Reads back as false. */
  readonly crashNow: boolean;
  /** Trigger: connections that are open now go silent for good while new ones work. Reads back as false. */
  readonly silenceOpen: boolean;
  /** Faults of the next streams; each stream takes the first entry that has streams left. */
  readonly streamFaults: readonly StreamFault[];
  /** Delay before the first token of each answer. */
  readonly answerDelayMs: number;
  /** Loses every n-th cache event; 0 for none. */
  readonly loseEvery: number;
  /** Further delay of cache events. */
  readonly extraEventDelayMs: number;
  /** `frozen` repeats the last report for ever, `failing` answers 500. */
  readonly loadReports: 'live' | 'frozen' | 'failing';
  /** Cuts all connections and refuses new ones; the cache is kept. */
  readonly refuse: boolean;
  /** Answers new completions with 503 and reports that it is leaving. */
  readonly leaving: boolean;
  /** Share of the engine that the older system uses, 0 to 1. */
  readonly otherShare: number;
}
