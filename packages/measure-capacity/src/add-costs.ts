import type { Cost } from './cost.js';

/** Adds costs up. */
export function addCosts(costs: readonly Cost[]): Cost {
  return costs.reduce(
    (sum, { core, bytes, memory }) => ({
      core: sum.core + core,
      bytes: sum.bytes + bytes,
      memory: sum.memory + memory,
    }),
    { core: 0, bytes: 0, memory: 0 },
  );
}
