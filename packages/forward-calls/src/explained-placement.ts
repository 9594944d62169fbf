import type { RuledOutReason, ServerChoice } from '@laburnumshift/choose-server';
import type { ScoredServer } from '@laburnumshift/place-calls';

/** What this host would decide about a placement request now, and what the decision was made from. */
export interface ExplainedPlacement {
  readonly choice: ServerChoice;
  /** The compared servers, the best first. */
  readonly candidates: readonly (ScoredServer & {
    /** Age of the load that the server reported, milliseconds; `undefined` without a report. */
    readonly reportAgeMs: number | undefined;
    /** Calls are in flight there, and nothing was received for some time; the score has a term for it. */
    readonly isSilent: boolean;
  })[];
  readonly ruledOut: readonly { readonly server: string; readonly reason: RuledOutReason }[];
  /** The home host that would be asked first; `undefined` when this host decides. */
  readonly home: string | undefined;
  /** Number of calls that wait for a server at this host. */
  readonly queuedCalls: number;
  /** Age of the oldest message with loads of other hosts, milliseconds; `undefined` without any. */
  readonly otherLoadsAgeMs: number | undefined;
}
