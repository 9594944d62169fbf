import type { MeshCounts } from './mesh-counts.js';

/** Creates the counters of a mesh, named `DIRECTION.TYPE.messages`, `DIRECTION.TYPE.bytes`, `links.EVENT` and `bodies.refused`. */
export function createMeshCounts(): MeshCounts {
  const counts = new Map<string, number>();
  return {
    add: (name, amount = 1) => {
      counts.set(name, (counts.get(name) ?? 0) + amount);
    },
    get: () => Object.fromEntries(counts),
  };
}
