import { readMonotonicMs } from '@laburnumshift/clock';
import { addLoads, addWork, NO_WORK, ZERO_LOAD } from '@laburnumshift/share-load';
import type { CallWork } from '@laburnumshift/track-engines';
import type { ReservationTable } from './reservation-table.js';

/**
 * Maximum lifetime of a reservation without a report of its host, milliseconds. It spans several report periods because datagrams can
 * be lost.
 */
const RESERVATION_TTL_MS = 1000;

interface Reservation {
  readonly host: string;
  readonly bornMs: number;
  readonly number: number;
  readonly work: CallWork;
  /** Expiry, monotonic milliseconds. */
  readonly untilMs: number;
}

/** Creates an empty table. Reservations expire 1 second after they were added. */
export function createReservationTable(): ReservationTable {
  const byServer = new Map<string, Reservation[]>();
  const filterReservations = (server: string, isKept: (reservation: Reservation) => boolean): void => {
    const kept = (byServer.get(server) ?? []).filter(isKept);
    if (kept.length === 0) byServer.delete(server);
    else byServer.set(server, kept);
  };
  const listCurrent = (server: string): readonly Reservation[] => {
    if (!byServer.has(server)) return [];
    const now = readMonotonicMs();
    filterReservations(server, ({ untilMs }) => untilMs > now);
    return byServer.get(server) ?? [];
  };
  return {
    addReservation: (host, bornMs, number, server, work) => {
      const untilMs = readMonotonicMs() + RESERVATION_TTL_MS;
      const reservation = { host, bornMs, number, work, untilMs };
      byServer.set(server, [...(byServer.get(server) ?? []), reservation]);
      return () => {
        filterReservations(server, (other) => other !== reservation);
      };
    },
    clearReservations: (host, bornMs, number) => {
      for (const server of [...byServer.keys()])
        filterReservations(
          server,
          (reservation) =>
            reservation.host !== host || (reservation.bornMs === bornMs && reservation.number > number),
        );
    },
    getWork: (server) =>
      listCurrent(server).reduce(
        (sum, { work: { expectedMs: ms } }) => (ms === undefined ? sum : addWork(sum, { calls: 1, ms })),
        NO_WORK,
      ),
    getLoad: (server) =>
      listCurrent(server).reduce(
        (sum, { work: { uncachedTokens, totalTokens } }) =>
          addLoads(sum, { inFlight: 1, pendingTokens: uncachedTokens, heldTokens: totalTokens }),
        ZERO_LOAD,
      ),
  };
}
