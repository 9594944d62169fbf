import type { PlacementDecision } from '@laburnumshift/place-request';
import type { StoredPiece } from '@laburnumshift/types';

/** A request that was granted an engine and has not been reported finished. */
export interface RunningRequest {
  readonly requestId: string;
  readonly fingerprint: string;
  readonly grantedAtMs: number;
  /** After this time the request counts as gone although nothing was reported. */
  readonly expiresAtMs: number;
  readonly decision: PlacementDecision;
  /** Pieces that the engine shall import. */
  readonly imports: readonly StoredPiece[];
}
