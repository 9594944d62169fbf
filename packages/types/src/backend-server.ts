/** A model engine or plain service instance. */
export interface BackendServer {
  /** Unique name; equals its host name in the platform's host list. */
  readonly name: string;
  readonly url: string;
  readonly failureDomain: string;
  /** True when the server refuses orders with an old fencing number. */
  readonly checksFencing: boolean;
  /** Requests that it runs at once before it queues. */
  readonly slots: number;
  /** Prefill rate, tokens per second; a first estimate that observation corrects. */
  readonly prefillTokensPerSecond: number;
  /** Decode rate of one stream, tokens per second; a first estimate. */
  readonly decodeTokensPerSecond: number;
  /** Role that the engine shall have; absent means that its role is left as it is. */
  readonly role?: string | undefined;
}
