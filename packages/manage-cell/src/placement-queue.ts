import type { PlaceReply, PlaceRequest } from '@laburnumshift/types';

/** Takes requests, holds them in the admission queue and hands out grants. */
export interface PlacementQueue {
  readonly place: (request: PlaceRequest) => Promise<PlaceReply>;
  /** Grants what can be granted now. */
  readonly grantWaiting: () => void;
  /** Drops what nobody asks for and refuses what can no longer be served. */
  readonly expireWaiting: () => void;
  readonly getCounts: () => Readonly<Record<string, number>>;
  readonly close: () => void;
}
