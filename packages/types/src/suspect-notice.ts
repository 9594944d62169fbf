/** Says that a request was in flight on an engine when it crashed. */
export interface SuspectNotice {
  readonly fingerprint: string;
  readonly engine: string;
  readonly pool: string;
  readonly atMs: number;
}
