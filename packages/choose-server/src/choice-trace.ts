import type { BackendEntry } from '@laburnumshift/forward-types';
import type { ScoredServer } from '@laburnumshift/place-calls';
import type { RuledOutReason } from './ruled-out-reason.js';

/** Receives what a choice was made from. Used to explain a choice; absent when calls are placed. */
export interface ChoiceTrace {
  readonly recordRuledOut: (servers: readonly Pick<BackendEntry, 'id'>[], reason: RuledOutReason) => void;
  /** Called with the compared servers of each round; the last round decides. */
  readonly recordScores: (scored: readonly ScoredServer[]) => void;
}
