import type { MeshCounts } from './mesh-counts.js';

/** Creates counters. Names are `DIRECTION.TYPE.messages`, `DIRECTION.TYPE.bytes` and `links.EVENT`. */
export function createMeshCounts(): MeshCounts {
  const counts = new Map<string, number>();
  return {
    add: (name, amount = 1) => {
      counts.set(name, (counts.get(name) ?? 0) + amount);
    },
    get: () => Object.fromEntries(counts),
  };
}
