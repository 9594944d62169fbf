import type { HomeClient, PlacementQueue } from '@laburnumshift/ask-home';
import {
  chooseServer,
  RULED_OUT_REASONS,
  type ChoiceDeps,
  type RuledOutReason,
} from '@laburnumshift/choose-server';
import type { ExplainedPlacement } from '@laburnumshift/forward-calls';
import { createPieceTransferPlanner, type PieceTransferPlannerOptions } from '@laburnumshift/keep-pieces';
import type { ColdLimits, ServerLimits } from '@laburnumshift/limit-server-rates';
import type { LoadSharing } from '@laburnumshift/share-load';
import type { FleetView } from '@laburnumshift/track-fleet';
import type { OpenedPlacement } from './opened-placement.js';

/** Names of the term of a score that a silent server has. */
const SILENCE_TERMS = ['silenceMs', 'silence'];

/** What explanations read of the host. */
interface ExplainerOptions {
  readonly choiceDeps: Omit<ChoiceDeps, 'limits' | 'coldLimits'> & {
    readonly limits: Pick<ServerLimits, 'getReader'>;
    readonly coldLimits: Pick<ColdLimits, 'getReader'>;
  };
  readonly fleet: FleetView;
  readonly events: PieceTransferPlannerOptions['events'];
  readonly control: PieceTransferPlannerOptions['control'];
  readonly sharing: Pick<LoadSharing, 'getLoadsAgeMs'>;
  readonly placementQueue: Pick<PlacementQueue, 'explainPlacementRequest' | 'countQueued'>;
  readonly homeClient: Pick<HomeClient, 'findHome'>;
}

/**
 * Creates the function that explains placements. It decides by the functions that place calls, over dependencies whose changing
 * functions are replaced by ones without effect.
 */
export function createPlacementExplainer({
  choiceDeps,
  fleet,
  events,
  control,
  sharing,
  placementQueue,
  homeClient,
}: ExplainerOptions): OpenedPlacement['explainPlacement'] {
  const serverTracker = choiceDeps.serverTracker.getReader();
  const planner = createPieceTransferPlanner({ serverTracker, events, fleet, control });
  const readingDeps: ChoiceDeps = {
    ...choiceDeps,
    serverTracker,
    limits: choiceDeps.limits.getReader(),
    coldLimits: choiceDeps.coldLimits.getReader(),
    transferPlanner: {
      planFetches: planner.planFetches,
      // Planning a save reserves space for it.
      planTransfers: (_, { sources }) => ({ fetchFrom: sources, fetchUntilMs: undefined, saveTo: [] }),
    },
    recordFullServers: () => undefined,
  };
  return (request): ExplainedPlacement => {
    const ruledOut = new Map<string, RuledOutReason>();
    let scored: ExplainedPlacement['candidates'] = [];
    for (const { id, service, isDraining } of fleet.listAllBackends())
      if (service === request.service && isDraining) ruledOut.set(id, RULED_OUT_REASONS.draining);
    for (const { id } of fleet.listEvacuated(request.service)) ruledOut.set(id, RULED_OUT_REASONS.evacuated);
    const trace: ChoiceDeps['trace'] = {
      recordRuledOut: (servers, reason) => {
        for (const { id } of servers) ruledOut.set(id, reason);
      },
      recordScores: (ranked) => {
        scored = ranked
          .map(({ id, expectedMs, score, terms }) => {
            const { loadAgeMs } = serverTracker.getState(id);
            return {
              id,
              expectedMs,
              score,
              terms,
              reportAgeMs: Number.isFinite(loadAgeMs) ? loadAgeMs : undefined,
              isSilent: SILENCE_TERMS.some((name) => (terms[name] ?? 0) > 0),
            };
          })
          .sort((a, b) => a.score - b.score);
      },
    };
    const choice = placementQueue.explainPlacementRequest(request, (asked, getReservedTokens) =>
      chooseServer({ ...readingDeps, trace, getReservedTokens }, asked),
    );
    return {
      choice,
      candidates: scored,
      ruledOut: [...ruledOut].map(([server, reason]) => ({ server, reason })),
      home: homeClient.findHome(),
      queuedCalls: placementQueue.countQueued(),
      otherLoadsAgeMs: sharing.getLoadsAgeMs(),
    };
  };
}
