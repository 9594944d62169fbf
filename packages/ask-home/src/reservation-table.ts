import type { CallWork, OutstandingWork } from '@laburnumshift/track-engines';
import type { ServerLoad } from '@laburnumshift/share-load';

/** Reservations of server capacity for calls that this home host has placed and that their hosts have not yet included in a load report. */
export interface ReservationTable {
  /**
   * Adds a reservation for a placed call.
   *
   * @param host host that asked
   * @param bornMs start time of the process of that host, wall-clock milliseconds
   * @param number number of its placement request
   * @param server id of the chosen server
   * @returns a function that removes the reservation
   */
  readonly addReservation: (
    host: string,
    bornMs: number,
    number: number,
    server: string,
    work: CallWork,
  ) => () => void;
  /**
   * Removes the reservations of a host that its load report now includes: those of its placement requests up to `number`, and all of an
   * earlier process of the host.
   */
  readonly clearReservations: (host: string, bornMs: number, number: number) => void;
  /** Returns the sum of the reservations at a server. */
  readonly getLoad: (server: string) => ServerLoad;
  /** Returns the work of the reservations at a server whose time is known. */
  readonly getWork: (server: string) => OutstandingWork;
}
