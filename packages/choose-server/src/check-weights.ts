import { computeElapsedMs } from '@laburnumshift/clock';
import type { BackendEntry } from '@laburnumshift/forward-types';
import { hasPendingOrder } from '@laburnumshift/track-fleet';
import type { ChoiceDeps } from './choice-deps.js';

/** Time after the publication of new weights from which calls on outdated ones lose part of their value, milliseconds. */
const OUTDATED_VALUE_LOSS_MS = 1300;
/** Penalty for an engine with outdated weights until that time, as milliseconds of delay. */
const OUTDATED_EARLY_PENALTY_MS = 30;
/** Penalty for an engine with outdated weights after that time, as milliseconds of delay. */
const OUTDATED_LATE_PENALTY_MS = 400;
/** Outdated engines get no calls for this long before `versionMs` ends, milliseconds: covers queueing and clock drift. */
const VERSION_MARGIN_MS = 1300;
/** Time that an order to load weights usually takes, milliseconds; an older order mark no longer excludes its engine. */
const WEIGHT_ORDER_MS = 12_000;

/** Which engines may run calls of a model, judged by their weights. */
interface WeightsCheck {
  readonly isOutdated: (server: BackendEntry) => boolean;
  /** The engine may run calls: its weights are recent enough, and it is not loading others. */
  readonly isUsable: (server: BackendEntry) => boolean;
  /** Penalty for an engine with outdated weights, as milliseconds of delay. */
  readonly outdatedPenaltyMs: number;
}

/** Compares the weights of engines with those that were published for a model. */
export function checkWeights(
  { fleet, bounds }: Pick<ChoiceDeps, 'fleet' | 'bounds'>,
  model: string,
): WeightsCheck {
  const newest = fleet.getWeights(model);
  // A version from the initial list may have been published at any time before.
  const newestAgeMs =
    newest === undefined ? 0 : newest.isInitial ? Infinity : computeElapsedMs(newest.earliestPublishedAt);
  const isOutdated = (server: BackendEntry): boolean =>
    newest !== undefined && (server.versions.get(model) ?? newest.version) < newest.version;
  // The bound counts from the first version after the server's, so publishing yet another one does not extend it.
  const isWithinVersionBound = (server: BackendEntry): boolean => {
    const successor = isOutdated(server)
      ? fleet.findNextWeights(model, server.versions.get(model) ?? 0)
      : undefined;
    if (successor === undefined) return true;
    const successorAgeMs = successor.isInitial ? Infinity : computeElapsedMs(successor.earliestPublishedAt);
    return successorAgeMs < bounds.versionMs - VERSION_MARGIN_MS;
  };
  // A mark for an older version counts too: its order may still be running when newer weights are published.
  const isLoading = (server: BackendEntry): boolean =>
    hasPendingOrder(server) && newestAgeMs < WEIGHT_ORDER_MS;
  return {
    isOutdated,
    isUsable: (server) => isWithinVersionBound(server) && !isLoading(server),
    outdatedPenaltyMs:
      newestAgeMs < OUTDATED_VALUE_LOSS_MS ? OUTDATED_EARLY_PENALTY_MS : OUTDATED_LATE_PENALTY_MS,
  };
}
