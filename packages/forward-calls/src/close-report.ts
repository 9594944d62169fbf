/** Counts and logs what callers lose when the host has no room for them. */
export interface CloseReport {
  readonly recordClose: (reason: string) => void;
  readonly recordRefusal: () => void;
}
