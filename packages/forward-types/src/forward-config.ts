import type { CallerLimits } from './caller-limits.js';
import type { ClientAccount } from './client-account.js';
import type { ForwardRoute } from './forward-route.js';
import type { ForwardService } from './forward-service.js';
import type { KeptCacheStore } from './kept-cache-store.js';

/** One version of the configuration, checked. */
export interface ForwardConfig {
  readonly version: number;
  readonly routes: readonly ForwardRoute[];
  readonly services: ReadonlyMap<string, ForwardService>;
  readonly stores: readonly KeptCacheStore[];
  readonly limits: CallerLimits;
  /** Accounts by key; `undefined` when calls carry no keys. */
  readonly accountsByKey: ReadonlyMap<string, ClientAccount> | undefined;
}
