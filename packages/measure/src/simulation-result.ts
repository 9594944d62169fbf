import type { RequestResult } from './request-result.js';

/** What a simulation measured. */
export interface SimulationResult {
  readonly results: readonly RequestResult[];
  readonly movedBytes: number;
  /** Greatest share of one minute in which the link was busy. */
  readonly peakLinkUse: number;
}
