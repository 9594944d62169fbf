import type { BackendEntry } from '@laburnumshift/forward-types';
import { buildCacheScope } from '@laburnumshift/keep-pieces';
import {
  admitCall,
  estimateHeldTokens,
  estimateSlowdown,
  listCandidateRounds,
  placeCall,
  rankEngines,
  type Admission,
  type Placement,
  type PlacementInput,
} from '@laburnumshift/place-calls';
import { buildRefusal } from './build-refusal.js';
import type { CacheFetch } from '@laburnumshift/track-engines';
import type { ServerChoice } from './server-choice.js';
import type { ChoiceDeps } from './choice-deps.js';
import { CHOICE_TIMES } from './choice-times.js';
import { countOtherCalls } from './count-other-calls.js';
import { LINK_UNITS } from './link-units.js';
import type { EnginePlacementRequest } from './engine-placement-request.js';
import { checkWeights } from './check-weights.js';
import { REFUSAL_CAUSES } from './refusal-causes.js';
import { RULED_OUT_REASONS } from './ruled-out-reasons.js';

/** Bytes of a response per output token: one event with its fields. */
const BYTES_PER_TOKEN = 64;

/** The best of several engines, and whether the call is sent there. */
interface BestEngine {
  readonly placement: Placement;
  readonly admission: Admission;
}

/** Chooses the engine for a call with a prompt, and which of its cached pieces are fetched and saved where. */
export function chooseEngine(
  deps: ChoiceDeps,
  request: EnginePlacementRequest,
  servers: readonly BackendEntry[],
): ServerChoice {
  const { prompt, engine, cacheOwner, service } = request;
  const weights = checkWeights(deps, prompt.model);
  const usable = servers.filter(weights.isUsable);
  deps.trace?.recordRuledOut(
    servers.filter((server) => !usable.includes(server)),
    RULED_OUT_REASONS.weights,
  );
  if (usable.length === 0) return buildRefusal(REFUSAL_CAUSES.weights, CHOICE_TIMES.noServerRetryMs);

  const homeDomain = deps.getHomeDomain();
  const prefillPerMs = deps.serverTracker.getPrefillRate(service);
  const fetchPerMs =
    (engine.linkMbps * LINK_UNITS.bitsPerMbpsMs) / LINK_UNITS.bitsPerByte / engine.bytesPerToken;
  // Hosts that do not report to this one are assumed to fetch as much as those that do.
  const hostsPerReporter = (deps.sharing.countCoveredHosts() + 1) / deps.sharing.countReportingHosts();
  const slowdowns = new Map<string, number>();
  const getSlowdown = (source: string): number => {
    const known = slowdowns.get(source);
    if (known !== undefined) return known;
    const loadSlowdown = estimateSlowdown(
      deps.serverTracker.getFetchRate(source) * hostsPerReporter,
      fetchPerMs,
    );
    const slowdown = Math.max(loadSlowdown, deps.serverTracker.getFetchSlowdown(source, fetchPerMs));
    slowdowns.set(source, slowdown);
    return slowdown;
  };
  /** Plans the fetches for all engines that have one weight version. */
  const createVersionPlan = (version: number | undefined) => {
    const fetchRequest = {
      scope: buildCacheScope(cacheOwner, prompt.model, version),
      pieces: prompt.pieces,
      // A home host does not know what engines of other failure domains have cached.
      engines: usable.filter(
        ({ versions, failureDomain }) =>
          versions.get(prompt.model) === version &&
          (homeDomain === undefined || failureDomain === homeDomain),
      ),
      stores: deps.fleet.getConfig()?.stores ?? [],
      estimateSlowdown: getSlowdown,
      maxSlowdown: fetchPerMs / prefillPerMs,
    };
    return { version, fetchRequest, planFor: deps.transferPlanner.planFetches(fetchRequest) };
  };
  const versionPlans = new Map<number | undefined, ReturnType<typeof createVersionPlan>>();
  const getVersionPlan = ({ versions }: BackendEntry): ReturnType<typeof createVersionPlan> => {
    const version = versions.get(prompt.model);
    const plan = versionPlans.get(version) ?? createVersionPlan(version);
    versionPlans.set(version, plan);
    return plan;
  };
  // The last piece belongs to this call or its session alone, so the one before it identifies calls that share a prefix.
  const affinityKey = prompt.pieces.at(-2)?.id ?? prompt.pieces[0]?.id ?? request.callId;
  const [firstPiece] = prompt.pieces;
  const countCached = (server: BackendEntry, piece: string): number =>
    deps.serverTracker.countCachedTokens(server.id, getVersionPlan(server).fetchRequest.scope, piece);
  const findBest = (engines: readonly BackendEntry[]): BestEngine => {
    const candidates = engines.map((server) => {
      const state = deps.serverTracker.getState(server.id);
      const otherHosts = deps.sharing.getLoadOfOthers(server.id);
      const { localTokens, fetchTokens, slowdown } = getVersionPlan(server).planFor(server.id);
      return {
        id: server.id,
        failureDomain: server.failureDomain,
        calls: state.inFlight + countOtherCalls(deps, server.id, state),
        slots: engine.slots,
        slowness: state.slowness,
        waitMs: (state.pendingTokens + otherHosts.pendingTokens) / prefillPerMs,
        localTokens,
        fetchTokens,
        fetchSlowdown: slowdown,
        heldTokens:
          state.heldTokens +
          otherHosts.heldTokens +
          (deps.getReservedTokens?.(server.id, usable.length, engine.capacityTokens) ?? 0),
        capacityTokens: engine.capacityTokens,
        failureShare: state.failureShare,
        isSilent: state.silentMs >= CHOICE_TIMES.silentMs,
        isOutdated: weights.isOutdated(server),
      };
    });
    const input: PlacementInput = {
      candidates,
      affinityKey,
      inputTokens: prompt.inputTokens,
      neededTokens: estimateHeldTokens(prompt),
      ownDomain: request.failureDomain,
      bytes: request.bodyBytes + (prompt.expectedOutputTokens ?? prompt.maxOutputTokens) * BYTES_PER_TOKEN,
      outdatedPenaltyMs: weights.outdatedPenaltyMs,
      rates: {
        prefillTokensPerMs: prefillPerMs,
        runMs: deps.serverTracker.getRunMs(service),
        fetchTokensPerMs: fetchPerMs,
      },
    };
    deps.trace?.recordScores(rankEngines(input));
    const placement = placeCall(input);
    const admission = admitCall({
      expectedMs: placement.expectedMs,
      queueMs: placement.queueMs,
      memoryShare: placement.memoryShare,
      remainingMs: request.remainingMs,
      waitedMs: request.waitedMs,
      targetMs: request.targetMs,
      priority: request.priority,
    });
    return { placement, admission };
  };
  const placeInRounds = (): BestEngine => {
    const hasPrefix = (server: BackendEntry): boolean =>
      firstPiece !== undefined && countCached(server, firstPiece.id) > 0;
    const rounds = listCandidateRounds({
      engines: usable,
      homeDomain,
      affinityKey,
      hasPrefix,
      pickRandom: deps.pickRandom,
    });
    for (const { listEngines, maxQueueMs } of rounds) {
      const engines = listEngines();
      const best = findBest(engines);
      const isAcceptable = best.admission.kind === 'admit' && best.placement.queueMs <= maxQueueMs;
      if (isAcceptable || engines.length === usable.length) return best;
    }
    return findBest(usable);
  };

  const { placement, admission } = placeInRounds();
  const server = usable.find(({ id }) => id === placement.id);
  if (server === undefined) return buildRefusal(REFUSAL_CAUSES.noServer, CHOICE_TIMES.noServerRetryMs);
  if (admission.kind === 'wait')
    return { ...admission, memory: { engine: placement.id, neededTokens: estimateHeldTokens(prompt) } };
  if (admission.kind === 'refuse') {
    const { id, expectedMs, queueMs, memoryShare } = placement;
    const cause = REFUSAL_CAUSES.noCapacity;
    return {
      ...admission,
      cause,
      inputs: { engine: id, expectedMs, queueMs, memoryShare, engines: usable.length },
    };
  }
  const { version, fetchRequest, planFor } = getVersionPlan(server);
  const plan = planFor(server.id);
  const fetches = prompt.pieces.flatMap((piece, index): CacheFetch[] => {
    const source = plan.sources[index];
    const tokens = piece.tokens - countCached(server, piece.id);
    return source !== undefined && tokens > 0 ? [{ source, tokens }] : [];
  });
  for (const { source, tokens } of fetches) deps.serverTracker.observeFetch(source, tokens);
  deps.serverTracker.expectPieces(server.id, fetchRequest.scope, prompt.pieces);
  const [fetch] = fetches.sort((a, b) => b.tokens - a.tokens);
  return {
    kind: 'server',
    server,
    uncachedTokens: placement.uncachedTokens,
    queueTokens: (placement.queueMs / placement.slowness) * prefillPerMs,
    expectedMs: placement.expectedMs,
    memoryShare: placement.memoryShare,
    fetch,
    transfers: deps.transferPlanner.planTransfers(fetchRequest, plan),
    version,
  };
}
