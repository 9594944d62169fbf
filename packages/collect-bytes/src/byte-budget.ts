import type { ByteReservation } from './byte-reservation.js';

/** Memory that all calls of one purpose share. */
export interface ByteBudget {
  readonly openReservation: () => ByteReservation;
  /** Returns how much is reserved, bytes. */
  readonly countReserved: () => number;
}
