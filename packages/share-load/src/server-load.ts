/** Server, calls, pending and held tokens. */
export type ServerLoad = readonly [
  server: string,
  inFlight: number,
  pendingTokens: number,
  heldTokens: number,
];
