import type { SuspectDecision } from './suspect-decision.js';

/** Suspects and convictions as the request path sees them. */
export interface Quarantine {
  /** Asks whether a request may run, and whether it must run isolated from other suspects. */
  readonly checkRequest: (fingerprint: string, requestId: string) => Promise<SuspectDecision>;
  /** Reports that the request was in flight on an engine that crashed; convicts an isolated suspect. */
  readonly reportCrash: (
    fingerprint: string,
    engine: string,
    pool: string,
    isolated: boolean,
  ) => Promise<void>;
  /** Reports that the request finished without a crash. */
  readonly reportFinish: (fingerprint: string, requestId: string) => void;
  /** Gives up the right to run without saying that the request finished; another run may start after the claim lapses. */
  readonly releaseRequest: (fingerprint: string, requestId: string) => void;
  /** True when the fingerprint is convicted as far as this node knows. */
  readonly isConvicted: (fingerprint: string) => boolean;
  readonly close: () => void;
}
