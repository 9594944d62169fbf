import type { AccountConfig } from './account-config.js';
import type { PoolConfig } from './pool-config.js';
import type { RouteConfig } from './route-config.js';
import type { ServiceConfig } from './service-config.js';

/** The compiled configuration of one generation. */
export interface Config {
  readonly generation: number;
  readonly changeId: string;
  readonly publishedAtMs: number;
  readonly accounts: Readonly<Record<string, AccountConfig>>;
  readonly services: Readonly<Record<string, ServiceConfig>>;
  readonly pools: Readonly<Record<string, PoolConfig>>;
  readonly routes: readonly RouteConfig[];
}
