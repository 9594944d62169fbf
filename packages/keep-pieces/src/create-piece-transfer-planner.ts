import { computeElapsedMs, computeMinElapsedMs, readMonotonicMs } from '@laburnumshift/clock';
import type { CacheStore, PromptPiece } from '@laburnumshift/forward-types';
import { createLogger } from '@laburnumshift/logger';
import { chooseStore, planFetch } from '@laburnumshift/place-calls';
import { getStoreId } from './get-store-id.js';
import type { PieceTransferPlannerOptions } from './piece-transfer-planner-options.js';
import { parseCacheScope } from './parse-cache-scope.js';
import type { PieceTransferPlanner } from './piece-transfer-planner.js';

/**
 * A save counts as failed when no event reports it within this time, milliseconds: a long prompt, its queue and the event
 * delay.
 */
const SAVE_TIMEOUT_MS = 6000;
/**
 * Fetched pieces are not used later than this after planning, milliseconds: transfers that wait longer than 2 s are not
 * started.
 */
const FETCH_TIMEOUT_MS = 2500;
/** Pieces of replaced weights are fetched from stores for this long, milliseconds: until most engines have the new weights. */
const MAX_REPLACED_MS = 3500;
/** A host fetches from stores only if it checked for newer weights within this time, milliseconds. */
const MAX_WEIGHTS_AGE_MS = 3500;
/** Allowance for clock differences and delays between hosts, milliseconds. */
const CLOCK_SLACK_MS = 500;
/**
 * Pieces are freed this long after their weights were replaced, milliseconds. By then no host starts a fetch of them, not even
 * one that is cut off from the platform, and the results of earlier fetches are no longer used.
 */
const FREE_AFTER_MS = Math.max(MAX_REPLACED_MS, MAX_WEIGHTS_AGE_MS) + FETCH_TIMEOUT_MS + CLOCK_SLACK_MS;
/** Maximum number of pieces freed by one call. */
const FREE_BATCH = 500;

/** A planned save that no event has reported yet; `untilMs` is its timeout on the monotonic clock. */
interface PendingSave {
  readonly store: string;
  readonly tokens: number;
  readonly untilMs: number;
}

/** Creates the planner of piece fetches and saves of one host. */
export function createPieceTransferPlanner(options: PieceTransferPlannerOptions): PieceTransferPlanner {
  const { serverTracker, events, fleet, control } = options;
  const logger = createLogger('keeper');
  const pendingSaves = new Map<string, PendingSave>();

  const findReplacement = (scope: string) => {
    const parsed = parseCacheScope(scope);
    return parsed === undefined ? undefined : fleet.findNextWeights(parsed.model, parsed.version);
  };
  /**
   * Returns the longest possible time since the weights of a scope were replaced, milliseconds; 0 while they are the newest, infinite for
   * weights of the first list, which may have been published at any time before.
   */
  const computeMaxReplacedMs = (scope: string): number => {
    const successor = findReplacement(scope);
    if (successor === undefined) return 0;
    return successor.isInitial ? Infinity : computeElapsedMs(successor.earliestPublishedAt);
  };
  /** Returns the shortest possible time since the weights of a scope were replaced, milliseconds; 0 while they are the newest. */
  const computeMinReplacedMs = (scope: string): number => {
    const successor = findReplacement(scope);
    if (successor === undefined) return 0;
    // Weights of the first list, too, may have been published just before this process read them.
    return computeMinElapsedMs(successor.learnedAt);
  };

  const listReadableStores = (stores: readonly CacheStore[]): CacheStore[] =>
    stores.filter((store) => events.isReading(getStoreId(store)));
  const isStored = (store: CacheStore, scope: string, piece: PromptPiece): boolean =>
    serverTracker.getPieceTable(getStoreId(store)).getTokens(scope, piece.id) >= piece.tokens;
  const dropExpired = (): void => {
    const now = readMonotonicMs();
    for (const [key, save] of pendingSaves) {
      if (save.untilMs > now) return;
      pendingSaves.delete(key);
    }
  };
  const countPending = (store: string): number =>
    [...pendingSaves.values()].reduce((sum, save) => sum + (save.store === store ? save.tokens : 0), 0);
  const chooseSaveStore = (
    scope: string,
    piece: PromptPiece,
    stores: readonly CacheStore[],
  ): CacheStore | undefined => {
    const key = `${scope} ${piece.id}`;
    if (pendingSaves.has(key)) return undefined;
    const candidates = stores.map((store) => ({
      name: store.name,
      address: store.address,
      capacityTokens: store.capacityTokens,
      usedTokens: store.isManaged
        ? serverTracker.getPieceTable(getStoreId(store)).countTokens() + countPending(store.name)
        : 0,
    }));
    const chosen = chooseStore(key, piece.tokens, candidates);
    if (chosen === undefined) return undefined;
    pendingSaves.set(key, {
      store: chosen.name,
      tokens: piece.tokens,
      untilMs: readMonotonicMs() + SAVE_TIMEOUT_MS,
    });
    return stores.find((store) => store.name === chosen.name);
  };

  return {
    planFetches: ({ scope, pieces, engines, stores, estimateSlowdown, maxSlowdown }) => {
      const mayFetch =
        events.readClockMs() !== undefined &&
        fleet.getWeightsAgeMs() <= MAX_WEIGHTS_AGE_MS &&
        computeMaxReplacedMs(scope) <= MAX_REPLACED_MS;
      const usable = mayFetch ? listReadableStores(stores) : [];
      const isFast = (address: string): boolean => estimateSlowdown(address) < maxSlowdown;
      const known = new Map<string, { readonly store: string | undefined; readonly holders: string[] }>();
      const findHolders = (piece: PromptPiece) => {
        const found = known.get(piece.id) ?? {
          store: usable.find((store) => isStored(store, scope, piece) && isFast(store.address))?.address,
          holders: engines
            .filter(
              ({ id, address }) =>
                serverTracker.getPieceTable(id).getTokens(scope, piece.id) >= piece.tokens && isFast(address),
            )
            .sort((a, b) => estimateSlowdown(a.address) - estimateSlowdown(b.address))
            .map(({ address }) => address),
        };
        known.set(piece.id, found);
        return found;
      };
      return (engine) => {
        const own = engines.find(({ id }) => id === engine)?.address;
        return planFetch(
          pieces,
          (piece) => serverTracker.countCachedTokens(engine, scope, piece.id),
          (piece) => {
            const { store, holders } = findHolders(piece);
            return store ?? holders.find((address) => address !== own);
          },
          estimateSlowdown,
        );
      };
    },
    planTransfers: ({ scope, pieces, stores }, plan) => {
      dropExpired();
      const usable = listReadableStores(stores);
      const clockMs = events.readClockMs();
      const isReplaced = computeMaxReplacedMs(scope) > 0;
      return {
        fetchFrom: plan.sources,
        fetchUntilMs: clockMs === undefined ? undefined : Math.floor(clockMs + FETCH_TIMEOUT_MS),
        // The last piece belongs to one call or session, so saving it is not worth the space.
        saveTo: pieces.map((piece, index) =>
          isReplaced || index === pieces.length - 1 || usable.some((store) => isStored(store, scope, piece))
            ? undefined
            : chooseSaveStore(scope, piece, usable)?.address,
        ),
      };
    },
    freeOutdated: async (stores) => {
      const isOutdated = (scope: string): boolean => computeMinReplacedMs(scope) > FREE_AFTER_MS;
      for (const store of listReadableStores(stores)) {
        const id = getStoreId(store);
        const bootId = events.getBootId(id);
        const freed = serverTracker.getPieceTable(id).listPieces(isOutdated).slice(0, FREE_BATCH);
        if (!store.isManaged || bootId === undefined || freed.length === 0) continue;
        const isDone = await control.freePieces(store.address, bootId, freed);
        logger.info('sent a request to free pieces of outdated weights', {
          store: store.name,
          count: freed.length,
          isDone,
        });
        if (isDone)
          for (const { scope, piece } of freed) serverTracker.getPieceTable(id).dropPiece(scope, piece);
      }
    },
  };
}
