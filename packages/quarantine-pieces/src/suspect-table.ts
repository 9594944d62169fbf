import type { CallTrait } from './call-trait.js';
import type { CrashRecord } from './crash-record.js';
import type { QuarantineVerdict } from './quarantine-verdict.js';
import type { Suspect } from './suspect.js';

/** The traits of calls that may crash servers, as known to this host. */
export interface SuspectTable {
  /** Records a crash with the traits of the calls on the server that had no answer yet. */
  readonly recordCrash: (crash: CrashRecord, traits: readonly CallTrait[]) => void;
  /** Records that a server has run a call that was begun at `beganAtMs`, and did not crash. */
  readonly recordSurvival: (traits: readonly CallTrait[], beganAtMs: number) => void;
  /** Adds what another host knows of suspects. */
  readonly mergeSuspects: (suspects: readonly Suspect[]) => void;
  /** Decides whether a call with these traits may be sent to a server. */
  readonly checkTraits: (traits: readonly CallTrait[]) => QuarantineVerdict;
  /** Returns the verdict of `checkTraits` without recording a refusal. */
  readonly readVerdict: (traits: readonly CallTrait[]) => QuarantineVerdict;
  /** Records that a call is sent in order to test its convicted traits. */
  readonly startTrial: (traits: readonly CallTrait[]) => void;
  /** True when the trait is convicted. */
  readonly isConvicted: (trait: string) => boolean;
  readonly countConvicted: () => number;
  readonly isEmpty: () => boolean;
  /**
   * Lists the suspects to be sent to other hosts, the most important first.
   *
   * @param sinceMs suspects that changed since this monotonic time are listed
   * @param hasConvicted also lists convicted suspects that have not changed
   */
  readonly listSuspects: (sinceMs: number, hasConvicted: boolean) => readonly Suspect[];
  /** Calls the handler when suspects have changed; `isOwn` when by observations of this host. */
  readonly watchChanges: (handler: (isOwn: boolean) => void) => void;
  /** Calls the handler when traits are convicted. */
  readonly watchConvictions: (handler: () => void) => void;
}
