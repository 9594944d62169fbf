/**
 * Fractions of the fleet's resend budget. When the home host of a failure domain is replaced, two hosts may use the fraction `homes`
 * within one window, so it counts twice: `hosts` and twice `homes` together stay within `all`.
 */
export const RESEND_FRACTIONS = {
  /** Of all hosts in a fleet without home hosts; the rest is a margin for calls that hosts count at different edges of the window. */
  all: 0.8,
  /** Of all hosts for their own resends in a fleet with home hosts. */
  hosts: 0.2,
  /** Of the home hosts of all failure domains at one time. */
  homes: 0.3,
} as const;
