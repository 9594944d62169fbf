/** Services that callers name: each kind once without and once with a share at the older system. */
export const SERVICES = {
  completions: ['ask', 'moving-ask'],
  bookings: ['booking', 'moving-booking'],
} as const;
