import type { TargetFigure } from './target-figure.js';

/** What a scenario found; each adds figures of its own. */
export interface DaemonFigures {
  readonly targets: readonly TargetFigure[];
  /** Multiple of the steady load, in load scenarios; their `candidates` are run figures by name. */
  readonly load?: number;
  readonly [detail: string]: unknown;
}
