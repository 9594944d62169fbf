import type { PoolConfig } from '@laburnumshift/types';
import type { FakeEngineOptions } from '../engine/index.js';
import type { FakePlatformOptions } from '../platform/index.js';

/** What a fake site consists of. */
export interface SiteOptions {
  /** Pools as declared; the addresses in them are replaced by those of the fakes. */
  readonly pools: readonly PoolConfig[];
  /** Full pieces that each engine's prefix cache holds; 64 by default. */
  readonly enginePieces?: number | undefined;
  /** Overrides for all engines. */
  readonly engine?: Partial<FakeEngineOptions> | undefined;
  readonly platform?: FakePlatformOptions | undefined;
}
