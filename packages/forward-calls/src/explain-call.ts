import type { ServerChoice } from '@laburnumshift/choose-server';
import type { CostEstimator } from '@laburnumshift/estimate-cost';
import { COLLECT_FAULTS } from '@laburnumshift/collect-bytes';
import type { EdgeCodec, ForwardBounds, PlacementRequest, RequestHead } from '@laburnumshift/forward-types';
import { estimateHeldTokens } from '@laburnumshift/place-calls';
import { createSuspectCall, type CrashQuarantine } from '@laburnumshift/quarantine-pieces';
import type { FleetView } from '@laburnumshift/track-fleet';
import { buildPlacementRequest } from './build-placement-request.js';
import type { CallExplanation } from './call-explanation.js';
import { estimateCall } from './estimate-call.js';
import type { ExplainResult } from './explain-result.js';
import type { ExplainedPlacement } from './explained-placement.js';
import { matchCall } from './match-call.js';
import { BODY_REFUSALS } from './body-refusals.js';

/** What an explanation reads of the host; none of it changes anything. */
interface ExplainDeps {
  readonly host: string;
  readonly failureDomain: string;
  readonly codec: Pick<EdgeCodec, 'decodeCall'>;
  readonly fleet: Pick<FleetView, 'getConfig' | 'getConfigAgeMs' | 'getWeightsAgeMs'>;
  readonly bounds: Pick<ForwardBounds, 'revokeMs' | 'configApplyMs'>;
  readonly costs: Pick<CostEstimator, 'estimateCallMs'>;
  readonly quarantine: Pick<CrashQuarantine, 'readVerdict'>;
  readonly explainPlacement: (request: PlacementRequest) => ExplainedPlacement;
  readonly pickRandom: () => number;
}

const HTTP_VERSION = '1.1';
const NO_BODY = Buffer.alloc(0);
/** Refusals that no such call is ever free of, so that they say that the request is wrong. */
const INVALID_STATUSES: ReadonlySet<number> = new Set([401, 404]);

const getFiniteAge = (ms: number): number | undefined => (Number.isFinite(ms) ? ms : undefined);

const describeChoice = (
  choice: ServerChoice,
): Pick<CallExplanation, 'outcome' | 'server' | 'expectedMs' | 'reason' | 'status' | 'retryAfterMs'> => {
  if (choice.kind === 'server')
    return { outcome: 'send', server: choice.server.id, expectedMs: choice.expectedMs };
  if (choice.kind === 'refuse')
    return { outcome: 'refuse', status: 503, reason: choice.reason, retryAfterMs: choice.retryAfterMs };
  const reason =
    choice.memory === undefined
      ? 'all servers are full or at their limits'
      : `waits for engine ${choice.memory.engine}, which is the best of all`;
  return { outcome: 'wait', reason };
};

/**
 * Explains where a call would go now, by the functions that decide about calls of callers. Changes nothing. Calls without a prompt are
 * not compared with those that crashed servers, since their bodies are not known.
 */
export function explainCall(deps: ExplainDeps, head: RequestHead, bodyBytes: number): ExplainResult {
  const call = deps.codec.decodeCall(head);
  if ('type' in call) return { kind: 'invalid', message: call.message };
  const match = matchCall(deps, call, HTTP_VERSION);
  if (match.kind === 'refused' && INVALID_STATUSES.has(match.status))
    return {
      kind: 'invalid',
      message: `a call like this is refused with ${String(match.status)}: ${match.reason}`,
    };
  const ages = {
    configMs: getFiniteAge(deps.fleet.getConfigAgeMs()),
    weightsMs: getFiniteAge(deps.fleet.getWeightsAgeMs()),
  };
  const explain = (explanation: Omit<CallExplanation, 'host' | 'ages'>): ExplainResult => ({
    kind: 'explained',
    explanation: { host: deps.host, ages, ...explanation },
  });
  if (match.kind === 'refused') {
    const { status, reason, retryAfterMs } = match;
    return explain({ outcome: 'refuse', status, reason, retryAfterMs });
  }
  const { route, account, service } = match;
  const sizedCall = { call, route, service, account, bodyBytes };
  const estimate = estimateCall(deps.costs, sizedCall);
  const { prompt } = call;
  const matched = {
    route: route.name,
    account: account?.name,
    priority: account?.priority ?? route.priority,
    service: service.name,
    targets: route.targets,
    cost: {
      callMs: estimate.costMs,
      inputTokens: prompt?.inputTokens,
      expectedOutputTokens: prompt?.expectedOutputTokens,
      heldTokens: prompt && estimateHeldTokens(prompt),
    },
  };
  const maxBodyBytes = deps.fleet.getConfig()?.limits.maxBodyBytes ?? Infinity;
  if (bodyBytes > maxBodyBytes)
    return explain({
      ...matched,
      outcome: 'refuse',
      status: BODY_REFUSALS[COLLECT_FAULTS.tooLong],
      reason: `body: ${COLLECT_FAULTS.tooLong}`,
    });
  const suspectCall = createSuspectCall(call, account?.name, NO_BODY);
  const verdict = suspectCall.hasPrompt ? deps.quarantine.readVerdict(suspectCall) : undefined;
  if (verdict?.kind === 'refused')
    return explain({
      ...matched,
      outcome: 'refuse',
      status: 503,
      reason: 'servers crash under a part of the call',
      retryAfterMs: verdict.retryAfterMs,
    });
  const request = buildPlacementRequest(deps, sizedCall, estimate.costMs, {
    remainingMs: Math.min(route.timeoutMs, call.deadlineMs ?? route.timeoutMs),
    waitedMs: 0,
    isResend: false,
    excluded: [],
  });
  const { choice, candidates, ruledOut, home, queuedCalls, otherLoadsAgeMs } = deps.explainPlacement(request);
  const explanation = {
    host: deps.host,
    home,
    ...matched,
    ...describeChoice(choice),
    candidates,
    ruledOut,
    queuedCalls,
    ages: { ...ages, otherLoadsMs: otherLoadsAgeMs },
  };
  return { kind: 'explained', explanation };
}
