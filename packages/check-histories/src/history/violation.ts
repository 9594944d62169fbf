import type { INVARIANTS } from './invariants.js';

/** A broken invariant with what was seen. */
export interface Violation {
  readonly invariant: keyof typeof INVARIANTS;
  readonly detail: string;
}
