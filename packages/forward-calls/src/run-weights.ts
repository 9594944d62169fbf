import type { ResponseHead } from '@laburnumshift/forward-types';

/** Follows the weights of the engine that has a run, to tell whether the run may continue elsewhere from its memory. */
export interface RunWeights {
  /** Takes the versions into account that the head of the answer or events name. */
  readonly observeHead: (head: Pick<ResponseHead, 'version'>) => void;
  readonly observeEvents: (events: Buffer) => void;
  /** False once something has shown that the engine got other weights, or that an order to load them was sent. */
  readonly isUnchanged: () => boolean;
  /**
   * Finds out whether the memory of the run was made under one version until now.
   *
   * @param isSourceAlive the engine is asked for its state
   */
  readonly confirmUniform: (isSourceAlive: boolean) => Promise<boolean>;
}
