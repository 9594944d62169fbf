import type { CallerLimits } from './caller-limits.js';
import type { ClientAccount } from './client-account.js';
import type { ForwardRoute } from './forward-route.js';
import type { ForwardService } from './forward-service.js';
import type { CacheStore } from './cache-store.js';

/** A validated version of the configuration. */
export interface ForwardConfig {
  readonly version: number;
  readonly routes: readonly ForwardRoute[];
  readonly services: ReadonlyMap<string, ForwardService>;
  readonly stores: readonly CacheStore[];
  readonly limits: CallerLimits;
  /** Names of the accounts that share no cached pieces, those without keys too. */
  readonly isolatedAccounts: ReadonlySet<string>;
  /** Accounts by API key; `undefined` when callers need no keys. */
  readonly accountsByKey: ReadonlyMap<string, ClientAccount> | undefined;
}
