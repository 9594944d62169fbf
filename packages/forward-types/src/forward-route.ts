import type { CallKind } from './call-kind.js';

/** How calls with a host name and a path prefix are forwarded. */
export interface ForwardRoute {
  readonly name: string;
  readonly hostName: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Longest time for which a caller is kept waiting, milliseconds. */
  readonly timeoutMs: number;
  /** Target latency to the answer, or to the first event of a stream, milliseconds; a later answer loses value. */
  readonly targetMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Services among which calls are split by weight; at least one. */
  readonly targets: readonly { readonly service: string; readonly weight: number }[];
  /** Most backend servers to which one call is sent, one after the other. */
  readonly maxAttempts: number;
  /** Callers need no API key. */
  readonly isPublic: boolean;
  /** A broken stream may be resumed after its last event at another engine. */
  readonly isResumable: boolean;
}
