import type { CallTrait } from './call-trait.js';

/** A call as the quarantine sees it. */
export interface SuspectCall {
  readonly callId: string;
  /** Lists the traits of the call; the list is computed at the first use. */
  readonly listTraits: () => readonly CallTrait[];
  /** The traits are the pieces of a prompt, which cost little to list. */
  readonly hasPrompt: boolean;
}
