import type { EngineRunRecord } from '@laburnumshift/fakes/engine';
import type { ServiceCallRecord } from '@laburnumshift/fakes/service';
import type { BookingOperation } from './booking-operation.js';
import type { CompletionOperation } from './completion-operation.js';
import type { Interval } from './interval.js';
import type { NodeLife } from './node-life.js';
import type { Outage } from './outage.js';
import type { Publication } from './publication.js';

/** What callers, operators and the fakes saw in one run. Times are milliseconds on the monotonic clock. */
export interface History {
  readonly completions: readonly CompletionOperation[];
  readonly bookings: readonly BookingOperation[];
  readonly publications: readonly Publication[];
  readonly lives: readonly NodeLife[];
  /** Generation in force on a node at or after `atMs`; 0 for none. */
  readonly generations: readonly {
    readonly node: string;
    readonly atMs: number;
    readonly generation: number;
  }[];
  /** Backend servers that were leaving; marked from `startMs` on. */
  readonly leavings: readonly (Interval & { readonly server: string })[];
  /** Times in which the whole platform gave no answers, or its host list no current ones. */
  readonly outages: readonly Outage[];
  /** Records of the engines by name. */
  readonly engineRuns: Readonly<Record<string, readonly EngineRunRecord[]>>;
  /** Engine work that shows whether caches and stores were used. */
  readonly engineWork: {
    readonly cachedTokens: number;
    readonly importedTokens: number;
    readonly importMisses: number;
    readonly resumedTokens: number;
  };
  /** Calls that ran, by service instance; the older system is one of them. */
  readonly serviceCalls: Readonly<Record<string, readonly ServiceCallRecord[]>>;
}
