import type { CallPlacer } from '@laburnumshift/ask-home';
import type { ExplainedPlacement } from '@laburnumshift/forward-calls';
import type { PlacementRequest } from '@laburnumshift/forward-types';

/** The placement of calls of a host. */
export interface OpenedPlacement {
  readonly placer: CallPlacer;
  /** Returns what this host would decide about a new call now. Changes nothing. */
  readonly explainPlacement: (request: PlacementRequest) => ExplainedPlacement;
}
