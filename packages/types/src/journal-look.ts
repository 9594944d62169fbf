/** Asks for the state of a call without starting it. */
export interface JournalLook {
  readonly account: string;
  readonly service: string;
  readonly key: string;
}
