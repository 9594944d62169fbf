/** A server of a plain service that may take a call. */
export interface PlainCandidate {
  readonly id: string;
  readonly failureDomain: string;
  /** Calls at the server, running and waiting. */
  readonly calls: number;
  readonly slots: number;
  readonly failureShare: number;
  readonly isSilent: boolean;
}
