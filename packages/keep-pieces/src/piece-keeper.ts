import type { CacheTransfers, KeptCacheStore, PromptPiece } from '@laburnumshift/forward-types';
import type { FetchPlan } from '@laburnumshift/place-calls';

/** Decides what is fetched from where and kept where. */
export interface PieceKeeper {
  /** Plans for each engine where it gets a prompt's pieces. `engines` are those that may be asked for pieces. */
  readonly planFetches: (request: FetchRequest) => (engine: string) => FetchPlan;
  /** Builds the transfers of a call; saves are remembered as on their way. */
  readonly planTransfers: (request: FetchRequest, plan: FetchPlan) => CacheTransfers;
  /** Frees pieces of weights that were replaced long enough ago for no fetch of them to be under way. */
  readonly freeOutdated: (stores: readonly KeptCacheStore[]) => Promise<void>;
}

/** A prompt whose pieces are looked for. */
interface FetchRequest {
  readonly scope: string;
  readonly pieces: readonly PromptPiece[];
  readonly engines: readonly { readonly id: string; readonly address: string }[];
  readonly stores: readonly KeptCacheStore[];
  /** How many times longer a fetch from an address takes than on an idle link. */
  readonly estimateSlowdown: (source: string) => number;
  /** From this on reading is faster than a fetch. */
  readonly maxSlowdown: number;
}
