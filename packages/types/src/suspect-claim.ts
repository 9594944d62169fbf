/** Asks the home node of a fingerprint whether a request may run now. */
export interface SuspectClaim {
  readonly fingerprint: string;
  readonly requestId: string;
  readonly host: string;
}
