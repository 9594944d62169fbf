import type { CallKind } from './call-kind.js';

/** Where the calls of a host name and a path prefix go, and how. */
export interface ForwardRoute {
  readonly name: string;
  readonly hostName: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Longest time that a caller is kept waiting, milliseconds. */
  readonly timeoutMs: number;
  /** Time to the answer, of streams to the first event, for full value, milliseconds. */
  readonly targetMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Services that share the calls by weight; at least one. */
  readonly targets: readonly { readonly service: string; readonly weight: number }[];
  /** Backend servers that one call may be sent to. */
  readonly maxAttempts: number;
  /** No key is asked for. */
  readonly isPublic: boolean;
  /** A broken stream may go on at another engine after its last event. */
  readonly isResumable: boolean;
}
