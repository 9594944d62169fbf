/** Says that a request was in flight on an engine when it crashed. */
export interface SuspectNotice {
  readonly fingerprint: string;
  readonly engine: string;
  readonly pool: string;
  readonly atMs: number;
  /** Run that the sender has permitted, with the rest of its time, milliseconds; copied between home and successor. */
  readonly claim?:
    { readonly requestId: string; readonly host: string; readonly leaseMs: number } | undefined;
}
