import type { PlacementDecision } from '@laburnumshift/place-request';
import type { SimEngine } from './sim-engine.js';
import type { TraceRequest } from './trace-request.js';

/** A request on an engine. */
export interface SimRun {
  readonly request: TraceRequest;
  readonly engine: SimEngine;
  readonly decision: PlacementDecision;
  /** The first token was delivered, now or before an engine restart. */
  started: boolean;
}
