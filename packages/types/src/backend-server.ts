/** A model engine or plain service instance. */
export interface BackendServer {
  /** Unique name; equals its host name in the platform's host list. */
  readonly name: string;
  readonly url: string;
  readonly failureDomain: string;
  /** True when the server refuses orders with a stale fencing number. */
  readonly checksFencing: boolean;
  /** Requests that the server runs concurrently; further ones are queued. */
  readonly slots: number;
  /** Initial estimate of the prefill rate, tokens per second; observed rates adjust it. */
  readonly prefillTokensPerSecond: number;
  /** Initial estimate of the decode rate of one stream, tokens per second. */
  readonly decodeTokensPerSecond: number;
  /** Desired role of the engine; absent leaves the role unchanged. */
  readonly role?: string | undefined;
}
