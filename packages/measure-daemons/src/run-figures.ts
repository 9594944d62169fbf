import type { Summary } from './summary.js';

/** Figures of one run. */
export interface RunFigures {
  /** Time to first token by service, without the first seconds of the run. */
  readonly services: Readonly<Record<string, Summary>>;
  /** All completions but bulk ones. */
  readonly interactive: Summary;
  readonly urgent: Summary;
  /** Interactive p95 with everything seen before cached on an idle engine. */
  readonly lowerBoundP95Ms: number;
  /** Share of prompt tokens that were computed although an earlier request of the run had them. */
  readonly shareRecomputed: number;
  readonly shareCached: number;
  readonly shareImported: number;
  readonly linkGigabytes: number;
  readonly peakLinkUse: number;
  readonly requests: number;
  /** Requests without a whole answer at the end of all resends. */
  readonly failed: readonly string[];
  readonly refusals: Readonly<Record<string, number>>;
  readonly cutAnswers: number;
  readonly cutReasons: readonly string[];
  readonly resends: number;
  readonly repeatedBookings: number;
  /** Bookings that were answered but never ran. */
  readonly lostBookings: number;
  readonly foreignAnswers: number;
  readonly unfairness: number;
  readonly platformCalls: Readonly<Record<string, number>>;
}
