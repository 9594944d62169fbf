import type { PlacementWeights, Priority } from '@laburnumshift/types';

/** One kind of request of a deployment. */
export interface TrafficClass {
  readonly service: string;
  readonly priority: Priority;
  /** New conversations per second at the steady load. */
  readonly startsPerSecond: number;
  /** Full pieces of the first prompt, smallest and greatest. */
  readonly pieces: readonly [number, number];
  /** Leading pieces that all conversations of an account share. */
  readonly sharedPieces: number;
  /** Chance that a conversation returns after each turn. */
  readonly returnChance: number;
  /** Median gap between the turns of a conversation. */
  readonly gapMs: number;
  readonly outputTokens: number;
  readonly deadlineMs: number;
  readonly weights: PlacementWeights;
}
