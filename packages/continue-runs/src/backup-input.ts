import type { RunFacts } from './run-facts.js';
import type { TargetInput } from './target-input.js';

/** Input of the decision whether a run gets a copy, and at which engine. */
export interface BackupInput extends TargetInput {
  readonly run: RunFacts;
}
