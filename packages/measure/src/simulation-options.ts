import type { PlacementPolicy } from '@laburnumshift/place-request';
import type { RetentionPlanner } from '@laburnumshift/types';
import type { Deployment } from './deployment.js';
import type { SimulatedFault } from './simulated-fault.js';
import type { TraceRequest } from './trace-request.js';

/** One run of a simulation. */
export interface SimulationOptions {
  readonly deployment: Deployment;
  readonly trace: readonly TraceRequest[];
  readonly policy: PlacementPolicy;
  readonly createPlanner: (deployment: Deployment) => RetentionPlanner;
  readonly fault?: SimulatedFault | undefined;
  readonly faultAtMs: number;
  readonly durationMs: number;
}
