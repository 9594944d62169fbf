import type { SuspectDecision } from './suspect-decision.js';

/**
 * Interface of the request path to the quarantine of requests that crash engines. A suspect was in flight during one crash;
 * a convicted request is refused for the time of its quarantine.
 */
export interface Quarantine {
  /** Decides whether a request may run, and whether it must run isolated from other suspects. */
  readonly checkRequest: (fingerprint: string, requestId: string) => Promise<SuspectDecision>;
  /** Reports that the request was in flight on an engine that crashed. A suspect that ran isolated is convicted. */
  readonly reportCrash: (
    fingerprint: string,
    engine: string,
    pool: string,
    isolated: boolean,
  ) => Promise<void>;
  /** Reports that the request finished without a crash. */
  readonly reportFinish: (fingerprint: string, requestId: string) => void;
  /** Ends the permission to run without reporting a finish; another run may start after the claim expires. */
  readonly releaseRequest: (fingerprint: string, requestId: string) => void;
  /** True when this node knows the fingerprint as convicted. */
  readonly isConvicted: (fingerprint: string) => boolean;
  readonly close: () => void;
}
