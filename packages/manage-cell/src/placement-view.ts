import type { PlacementInput } from '@laburnumshift/place-request';
import type { StoredPiece } from '@laburnumshift/types';

/** The input of a decision together with what is needed to turn its result into a grant. */
export interface PlacementView {
  readonly input: PlacementInput;
  readonly scopes: ReadonlyMap<string, string>;
  /** By weight version, the stored piece for each piece of the prompt. */
  readonly found: ReadonlyMap<string, readonly (StoredPiece | undefined)[]>;
}
