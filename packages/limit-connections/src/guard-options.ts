import type { ClientLimits } from './client-limits.js';

/** Options of `createConnectionGuard`. */
export interface GuardOptions {
  readonly limits: ClientLimits;
  /** Returns how many connections to backend servers are open, and how many there may be. */
  readonly countServerConnections: () => { readonly open: number; readonly max: number };
  /** Returns how long an idle connection is kept, milliseconds. */
  readonly getIdleTimeoutMs: () => number;
}
