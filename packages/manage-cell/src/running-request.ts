import type { PlacementDecision } from '@laburnumshift/place-request';
import type { StoredPiece } from '@laburnumshift/types';

/** A request that was granted an engine and whose run has not been reported yet. */
export interface RunningRequest {
  readonly requestId: string;
  readonly fingerprint: string;
  readonly grantedAtMs: number;
  /** Monotonic time after which the request is released without a report, milliseconds. */
  readonly expiresAtMs: number;
  readonly decision: PlacementDecision;
  /** Pieces that the engine imports from stores. */
  readonly imports: readonly StoredPiece[];
}
