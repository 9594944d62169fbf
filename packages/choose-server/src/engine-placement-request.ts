import type { ForwardService, PlacementQuestion, PromptShape } from '@laburnumshift/forward-types';

/** A placement request for a service of model engines. */
export interface EnginePlacementRequest extends PlacementQuestion {
  readonly prompt: PromptShape;
  readonly engine: NonNullable<ForwardService['engine']>;
}
