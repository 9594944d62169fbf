/** Notifies that a request was in flight on an engine when the engine crashed. */
export interface SuspectNotice {
  readonly fingerprint: string;
  readonly engine: string;
  readonly pool: string;
  readonly atMs: number;
  /**
   * Run that the sender has permitted; `leaseMs` is the time left, milliseconds. Replicated between the home node and its
   * successor.
   */
  readonly claim?:
    { readonly requestId: string; readonly host: string; readonly leaseMs: number } | undefined;
}
