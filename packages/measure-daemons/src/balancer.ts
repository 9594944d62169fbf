import type { EntryPoint } from './entry-point.js';

/** A load balancer in front of the entry daemons, which asks each one for readiness. */
export interface Balancer {
  /** Picks the next daemon that was ready when it was last asked; another than `exclude` when there is one. */
  readonly pickEntry: (exclude?: string) => EntryPoint | undefined;
  readonly listReady: () => readonly EntryPoint[];
  readonly close: () => void;
}
