import type { BackendEntry } from '@laburnumshift/forward-types';
import type { MoveReason, MoveStep } from '@laburnumshift/continue-runs';

/** What the move of a run had come to when the attempt at its engine ended. */
export interface MoveEnd {
  readonly reason: MoveReason;
  /** The last step; `undefined` when the move was still copying. */
  readonly step: MoveStep | undefined;
  /** The engine has stopped the run, or states that it does not run it. */
  readonly isStopped: boolean;
  /** Memory of the run at `holder`; `undefined` when none was copied. */
  readonly handle: string | undefined;
  readonly holder: BackendEntry | undefined;
}
