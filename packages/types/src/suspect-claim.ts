/** Asks the fingerprint's home whether this request may run now. */
export interface SuspectClaim {
  readonly fingerprint: string;
  readonly requestId: string;
  readonly host: string;
}
