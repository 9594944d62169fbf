import type { ByteBudget } from './byte-budget.js';

/** Creates a budget of `limitBytes` bytes. */
export function createByteBudget(limitBytes: number): ByteBudget {
  let reserved = 0;
  return {
    openReservation: () => {
      let own = 0;
      let isOpen = true;
      const releaseBytes = (bytes: number): void => {
        const released = Math.min(bytes, own);
        own -= released;
        reserved -= released;
      };
      return {
        reserveBytes: (bytes) => {
          if (!isOpen || reserved + bytes > limitBytes) return false;
          own += bytes;
          reserved += bytes;
          return true;
        },
        releaseBytes,
        close: () => {
          isOpen = false;
          releaseBytes(own);
        },
      };
    },
    countReserved: () => reserved,
  };
}
