/** Datagram: sender, its start, rising number, and server, calls, pending and held tokens of each server with work. */
export type LoadMessage = readonly [
  host: string,
  bornMs: number,
  number: number,
  loads: readonly (readonly [server: string, inFlight: number, pendingTokens: number, heldTokens: number])[],
];
