import { hasUniformMemory } from '@laburnumshift/continue-runs';
import { ORDER_STAGES } from '@laburnumshift/forward-types';
import type { EngineChoice } from './engine-choice.js';
import type { ForwarderDependencies } from './forwarder-dependencies.js';
import type { RunWeights } from './run-weights.js';

/** Age up to which the copy of the published weights is recent, milliseconds: twice the usual wait of its watch. */
const MAX_WEIGHTS_AGE_MS = 3500;

/** Starts to follow the weights of the engine that a run of a model is sent to. */
export function createRunWeights(
  deps: Pick<ForwarderDependencies, 'codec' | 'fleet' | 'readReport'>,
  { server, version }: Pick<EngineChoice, 'server' | 'version'>,
  model: string,
): RunWeights {
  let hasOtherVersion = false;
  const observeVersion = (seen: number | undefined): void => {
    if (seen !== undefined && seen !== version) hasOtherVersion = true;
  };
  /** The registration may be older than the run, so only newer versions in it show a change. */
  const observeRegistration = (): void => {
    const entry = deps.fleet.getBackend(server.id);
    const mark = entry?.orderMark;
    const isOrdered = mark?.model === model && mark.stage !== ORDER_STAGES.draining;
    const newest = Math.max(entry?.versions.get(model) ?? 0, isOrdered ? mark.version : 0);
    if (newest > (version ?? 0)) hasOtherVersion = true;
  };
  const isUnchanged = (): boolean => {
    observeRegistration();
    return !hasOtherVersion;
  };
  return {
    observeHead: (head) => {
      observeVersion(head.version);
    },
    observeEvents: (events) => {
      for (const seen of deps.codec.decodeEventVersions(events)) observeVersion(seen);
      observeRegistration();
    },
    isUnchanged,
    confirmUniform: async (isSourceAlive) => {
      if (!isUnchanged()) return false;
      const report = isSourceAlive ? await deps.readReport(server) : undefined;
      return hasUniformMemory({
        version,
        hasOtherVersion: !isUnchanged(),
        report: report && {
          version: report.versions.get(model),
          isExecutingOrder: report.isExecutingOrder,
        },
        publishedVersion:
          deps.fleet.getWeightsAgeMs() <= MAX_WEIGHTS_AGE_MS
            ? deps.fleet.getWeights(model)?.version
            : undefined,
      });
    },
  };
}
