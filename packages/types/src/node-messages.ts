import type { ConfigUpdate } from './config-update.js';
import type { ConvictionNotice } from './conviction-notice.js';
import type { EngineFailure } from './engine-failure.js';
import type { HostEntry } from './host-entry.js';
import type { JournalAttempt } from './journal-attempt.js';
import type { JournalBegin } from './journal-begin.js';
import type { JournalDecision } from './journal-decision.js';
import type { JournalFinish } from './journal-finish.js';
import type { JournalLookup } from './journal-lookup.js';
import type { EnginePlacementReply } from './engine-placement-reply.js';
import type { EnginePlacementRequest } from './engine-placement-request.js';
import type { RequestTrace } from './request-trace.js';
import type { RunOutputRequest } from './run-output-request.js';
import type { RunOutputChunk } from './run-output-chunk.js';
import type { RunClaim } from './run-claim.js';
import type { RunClaimReply } from './run-claim-reply.js';
import type { RunReport } from './run-report.js';
import type { ShareGrant } from './share-grant.js';
import type { ShareRequest } from './share-request.js';
import type { SuspectClaim } from './suspect-claim.js';
import type { SuspectDecision } from './suspect-decision.js';
import type { SuspectNotice } from './suspect-notice.js';

/** Message types between nodes, with the types of their bodies and replies. */
export interface NodeMessages {
  readonly probe: { body: unknown; reply: unknown };
  readonly 'probe-for': { body: unknown; reply: unknown };
  readonly place: { body: EnginePlacementRequest; reply: EnginePlacementReply };
  readonly 'run-finished': { body: RunReport; reply: null };
  readonly 'engine-failed': { body: EngineFailure; reply: null };
  readonly share: { body: ShareRequest; reply: ShareGrant };
  readonly 'journal-begin': { body: JournalBegin; reply: JournalDecision };
  readonly 'journal-finish': { body: JournalFinish; reply: { readonly recorded: boolean } };
  readonly 'journal-abandon': { body: JournalAttempt; reply: { readonly recorded: boolean } };
  readonly 'journal-unknown': { body: JournalAttempt; reply: { readonly recorded: boolean } };
  readonly 'journal-look': { body: JournalLookup; reply: JournalDecision };
  readonly 'config-head': { body: { readonly generation: number }; reply: { readonly generation: number } };
  readonly 'config-get': {
    /** `partial` states that the sender accepts an update with a `base`. */
    body: { readonly above: number; readonly partial?: boolean | undefined };
    reply: ConfigUpdate | null;
  };
  readonly hosts: { body: readonly HostEntry[]; reply: null };
  readonly suspect: { body: SuspectNotice; reply: null };
  readonly convict: { body: ConvictionNotice; reply: null };
  readonly clear: { body: { readonly fingerprint: string }; reply: null };
  readonly 'suspect-claim': { body: SuspectClaim; reply: SuspectDecision };
  readonly 'run-claim': { body: RunClaim; reply: RunClaimReply };
  readonly 'run-attach': { body: RunOutputRequest; reply: RunOutputChunk };
  readonly status: { body: null; reply: unknown };
  readonly explain: { body: { readonly requestId: string }; reply: readonly RequestTrace[] };
}
