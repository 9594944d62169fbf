import type { NodeStatus } from './node-status.js';

/** A cell with the nodes that keep it. */
interface CellView {
  readonly name: string;
  /** Nodes that say that they are first in rendezvous order; two while membership changes. */
  readonly homes: readonly string[];
  readonly cell: NodeStatus['cells'][number];
}

/** Lists the cells of all nodes once each, as their home sees them; a former home keeps its copy for a minute. */
export function listHomes(nodes: readonly NodeStatus[]): readonly CellView[] {
  const views = new Map<string, CellView>();
  for (const node of nodes) {
    for (const cell of node.cells) {
      const name = `${cell.pool}/${String(cell.cell)}`;
      const known = views.get(name);
      const isHome = node.cellHomes.includes(name);
      const homes = [...(known?.homes ?? []), ...(isHome ? [node.host] : [])];
      views.set(name, { name, homes, cell: known === undefined || isHome ? cell : known.cell });
    }
  }
  return [...views.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
}
