import type { EngineFaults } from '@laburnumshift/fakes/engine';
import type { PlatformFaults } from '@laburnumshift/fakes/platform';
import type { StoreFaults } from '@laburnumshift/fakes/store';
import type { HostEntry } from '@laburnumshift/types';

/** Requests to the process that runs the fakes. */
export type SiteRequest =
  | { readonly kind: 'start'; readonly directory: string; readonly enginePieces: number }
  | { readonly kind: 'set-nodes'; readonly nodes: readonly HostEntry[] }
  | { readonly kind: 'set-leaving'; readonly name: string }
  | { readonly kind: 'set-engine'; readonly name: string; readonly faults: Partial<EngineFaults> }
  | { readonly kind: 'set-store'; readonly name: string; readonly faults: Partial<StoreFaults> }
  | { readonly kind: 'set-platform'; readonly faults: Partial<PlatformFaults> }
  | { readonly kind: 'get-report' };
