import type { ForwardService, PlacementRequest, PromptMetadata } from '@laburnumshift/forward-types';

/** A placement request for a service of model engines. */
export interface EnginePlacementRequest extends PlacementRequest {
  readonly prompt: PromptMetadata;
  readonly engine: NonNullable<ForwardService['engine']>;
}
