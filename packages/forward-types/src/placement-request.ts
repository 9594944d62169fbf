import type { PromptMetadata } from './prompt-metadata.js';

/** The call-side inputs to the choice of a server for one call; the state of the servers is not included. */
export interface PlacementRequest {
  readonly callId: string;
  readonly service: string;
  /** `undefined` for calls of plain services. */
  readonly prompt: PromptMetadata | undefined;
  /** Owner of the cached pieces that the call uses and makes. */
  readonly cacheOwner: string;
  /** Client account of the call; `undefined` without one, and when a host of an earlier version asks. */
  readonly account?: string | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Target latency to the start of the answer, milliseconds; a later answer loses value. */
  readonly targetMs: number;
  /** Time that the call has left, milliseconds. */
  readonly remainingMs: number;
  /** Time that the call has waited, milliseconds. */
  readonly waitedMs: number;
  /** Size of the request body. */
  readonly bodyBytes: number;
  /** Time that the call takes at a server of usual speed, as the host learned it, milliseconds; `undefined` when unknown. */
  readonly costMs?: number | undefined;
  /** Failure domain of the host that has the call. */
  readonly failureDomain: string;
  /** The call was sent before; sending it again takes one resend from the budget. */
  readonly isResend: boolean;
  /** Ids of servers that were tried already or that the host must not send calls to. */
  readonly excluded: readonly string[];
}
