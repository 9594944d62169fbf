import type { HostChannel } from '@laburnumshift/host-channel';
import type { ReservationTable } from './reservation-table.js';
import type { PlacementQueue } from './placement-queue.js';

/** Options of `servePlacementRequests`. */
export interface ServePlacementRequestsOptions {
  readonly channel: Pick<HostChannel, 'sendMessage' | 'handleMessages'>;
  /** Name of this host. */
  readonly host: string;
  /** Start time of this process, wall-clock milliseconds. */
  readonly bornMs: number;
  readonly placementQueue: Pick<PlacementQueue, 'submitPlacementRequest' | 'countQueued'>;
  readonly reservations: Pick<ReservationTable, 'addReservation'>;
  /** Whether this host has enough data to place calls of other hosts. */
  readonly isReady: () => boolean;
  /** Whether a host is registered with this `IP:port`. */
  readonly isRegistered: (host: string, address: string) => boolean;
}
