/** What the loads of a datagram cover. */
export const MESSAGE_KINDS = {
  /** The sender's own work. */
  own: 0,
  /** Work of all hosts that report to the sender, a relay, with its own. */
  domain: 1,
  /** Work of all hosts but the receiver. */
  others: 2,
} as const;
