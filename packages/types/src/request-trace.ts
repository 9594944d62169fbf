import type { TraceStep } from './trace-step.js';

/** The recorded life of a request on one node. Holds no prompt text. */
export interface RequestTrace {
  readonly requestId: string;
  readonly account: string;
  readonly service: string;
  readonly host: string;
  readonly steps: readonly TraceStep[];
}
