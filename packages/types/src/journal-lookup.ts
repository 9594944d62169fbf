/** Requests the state of a call without starting it. */
export interface JournalLookup {
  readonly account: string;
  readonly service: string;
  readonly key: string;
  /** Timestamp of the key when known, milliseconds since the epoch; records that are older are not searched. */
  readonly issuedAtMs?: number | undefined;
}
