import type { TraceRequest } from './trace-request.js';

/** Learns for each service how often its conversations return. */
export interface ReturnMeter {
  readonly observeRequest: (request: TraceRequest) => void;
  /** Share of prompts that continued an earlier one; 1 before enough was seen. */
  readonly getRate: (service: string) => number;
}
