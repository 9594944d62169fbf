import type { CacheTransfers, CacheStore, PromptPiece } from '@laburnumshift/forward-types';
import type { FetchPlan } from '@laburnumshift/place-calls';

/** Decides from which servers pieces are fetched and in which stores they are saved. */
export interface PieceTransferPlanner {
  /** Returns a function that plans, for one engine, from where it fetches the pieces of a prompt. */
  readonly planFetches: (request: FetchRequest) => (engine: string) => FetchPlan;
  /** Builds the transfers of a call. Planned saves count as pending until they are reported or time out. */
  readonly planTransfers: (request: FetchRequest, plan: FetchPlan) => CacheTransfers;
  /** Frees pieces of weights that were replaced so long ago that no fetch of them can still be in progress. */
  readonly freeOutdated: (stores: readonly CacheStore[]) => Promise<void>;
}

/** The pieces of a prompt and the servers that may hold them. */
interface FetchRequest {
  readonly scope: string;
  readonly pieces: readonly PromptPiece[];
  /** Engines from which pieces may be fetched. */
  readonly engines: readonly { readonly id: string; readonly address: string }[];
  readonly stores: readonly CacheStore[];
  /** Estimates how many times longer a fetch from an address takes than over an idle link. */
  readonly estimateSlowdown: (source: string) => number;
  /** Slowdown from which computing a piece is faster than fetching it. */
  readonly maxSlowdown: number;
}
