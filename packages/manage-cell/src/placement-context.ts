import type { PlacementInput } from '@laburnumshift/place-request';
import type { StoredPiece } from '@laburnumshift/types';

/** Input of a placement decision, and the data needed to turn the decision into a grant. */
export interface PlacementContext {
  readonly input: PlacementInput;
  /** Cache scope of the request by weight version. */
  readonly scopes: ReadonlyMap<string, string>;
  /** Stored copy of each piece of the prompt by weight version; `undefined` where no usable store has the piece. */
  readonly storedPieces: ReadonlyMap<string, readonly (StoredPiece | undefined)[]>;
}
