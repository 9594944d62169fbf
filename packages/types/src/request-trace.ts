import type { TraceStep } from './trace-step.js';

/** The recorded steps of a request on one node. Contains no prompt text. */
export interface RequestTrace {
  readonly requestId: string;
  readonly account: string;
  readonly service: string;
  readonly host: string;
  readonly steps: readonly TraceStep[];
}
