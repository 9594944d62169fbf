/** Asks for the state of a call without starting it. */
export interface JournalLook {
  readonly account: string;
  readonly service: string;
  readonly key: string;
  /** Date of the key when known, milliseconds since the epoch; older records are not searched. */
  readonly issuedAtMs?: number | undefined;
}
