import type { FleetView } from '@laburnumshift/track-fleet';
import type { OutdatedEngine } from './outdated-engine.js';

/** Lists the engines that are not draining and have older weights than the newest published ones, one entry per model. */
export function listOutdatedEngines(
  fleet: Pick<FleetView, 'listAllBackends' | 'listWeights'>,
): OutdatedEngine[] {
  const weights = fleet.listWeights();
  return fleet.listAllBackends().flatMap((engine) => {
    if (engine.isDraining) return [];
    return weights.flatMap(({ model, version }) => {
      const current = engine.versions.get(model);
      return current !== undefined && current < version ? [{ engine, model, version }] : [];
    });
  });
}
