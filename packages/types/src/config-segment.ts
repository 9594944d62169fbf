import type { AccountConfig } from './account-config.js';
import type { PoolConfig } from './pool-config.js';
import type { RouteConfig } from './route-config.js';
import type { ServiceConfig } from './service-config.js';

/** The validated content of one declaration file, stored as an immutable object that is named by its hash. */
export interface ConfigSegment {
  /** Path of the file relative to the published directory, with forward slashes. */
  readonly file: string;
  readonly accounts: readonly AccountConfig[];
  readonly services: readonly ServiceConfig[];
  readonly pools: readonly PoolConfig[];
  readonly routes: readonly RouteConfig[];
}
