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
  /** Names of the accounts that share cached pieces with each other, those without keys too; isolated accounts are not among them. */
  readonly sharingAccounts: ReadonlySet<string>;
  /** Accounts by API key; `undefined` when callers need no keys. */
  readonly accountsByKey: ReadonlyMap<string, ClientAccount> | undefined;
}
