/** Load of one backend server, as sent: id of the server, calls in flight, pending and held tokens. */
export type EncodedServerLoad = readonly [
  server: string,
  inFlight: number,
  pendingTokens: number,
  heldTokens: number,
];
