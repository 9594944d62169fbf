import { computeInFlightLimit } from '@laburnumshift/place-request';
import type { PlacementInput } from '@laburnumshift/place-request';
import type { Deployment } from './deployment.js';
import type { LinkView } from './link-view.js';
import type { LoadView } from './load-view.js';
import type { SimEngine } from './sim-engine.js';
import type { SimStore } from './sim-store.js';
import type { TraceRequest } from './trace-request.js';

const MS_PER_S = 1000;
const VERSION = 'v1';
const TIER_INDEX = { memory: 0, disk: 1 } as const;

/** Builds the input of a decision as the home of a cell would. */
export function buildSimInput(
  deployment: Deployment,
  request: TraceRequest,
  parts: {
    readonly engines: readonly { readonly engine: SimEngine; readonly view: LoadView }[];
    readonly store: SimStore;
    readonly link: LinkView;
    readonly turn: number;
    readonly anyRoom: boolean;
    readonly nowMs: number;
  },
): PlacementInput {
  const { nowMs, store } = parts;
  const { priority, weights } = request.kind;
  const limit = computeInFlightLimit(deployment.slots, deployment.urgentSlots, priority);
  const scale = parts.link.getRateScale(nowMs);
  const rate = deployment.linkBytesPerSecond * scale;
  const queueMs = (store.link.getQueuedBytes() / rate) * MS_PER_S;
  const countPrefix = (engine: SimEngine): number => {
    const missing = request.pieces.findIndex((piece) => !engine.cache.has(piece.chain));
    return missing < 0 ? request.pieces.length : missing;
  };
  const cache = {
    prefix: new Map(parts.engines.map(({ engine }) => [engine.name, countPrefix(engine)])),
    sources: [
      { store: 's', tier: 'memory' as const, queueMs, bytesPerSecond: rate },
      {
        store: 's',
        tier: 'disk' as const,
        queueMs,
        bytesPerSecond: Math.min(rate, deployment.diskBytesPerSecond),
      },
    ],
    stored: request.pieces.map(({ chain }) => {
      const tier = store.getTier(request.account, chain);
      return tier === undefined ? -1 : TIER_INDEX[tier];
    }),
  };
  return {
    engines: parts.engines.map(({ engine, view }) => ({
      name: engine.name,
      url: '',
      weightVersion: VERSION,
      usable: engine.availableAtMs <= nowMs && (parts.anyRoom || engine.running < limit),
      suspectsInFlight: 0,
      running: engine.running,
      slots: deployment.slots,
      queueMs: view.getQueueMs(priority, nowMs),
      prefillTokensPerSecond: engine.rate,
    })),
    pieces: request.pieces,
    pieceBytes: deployment.pieceBytes,
    caches: new Map([[VERSION, cache]]),
    weights,
    exclude: [],
    suspect: false,
    affinityKey: request.conversation,
    decisionCount: parts.turn,
  };
}
