import type { RunWeightsEvidence } from './run-weights-evidence.js';

/**
 * Returns true when the whole memory of a run was made under the weights that the run was sent under. A run that goes on while its engine
 * loads other weights has memory of both, and no other engine may use it. Without a report, an order to the engine is ruled out only
 * while no newer weights are published. Load: each move, and each run that continues.
 */
export function hasUniformMemory(evidence: RunWeightsEvidence): boolean {
  const { version, hasOtherVersion, report, publishedVersion } = evidence;
  if (version === undefined || hasOtherVersion) return false;
  if (report === undefined) return publishedVersion === version;
  return report.version === version && !report.isExecutingOrder;
}
