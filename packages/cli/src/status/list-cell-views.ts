import type { NodeStatus } from './node-status.js';

/** The state of a cell and its home nodes. */
interface CellView {
  readonly name: string;
  /** Nodes that report themselves first in rendezvous order; there may be two while membership changes. */
  readonly homes: readonly string[];
  readonly cell: NodeStatus['cells'][number];
}

/**
 * Lists each cell once, sorted by name, with the state that its home node reports. A former home keeps its copy for a
 * minute; that copy is used only if no node reports itself as home.
 */
export function listCellViews(nodes: readonly NodeStatus[]): readonly CellView[] {
  const views = new Map<string, CellView>();
  for (const node of nodes) {
    for (const cell of node.cells) {
      const name = `${cell.pool}/${String(cell.cell)}`;
      const previous = views.get(name);
      const isHome = node.cellHomes.includes(name);
      const homes = [...(previous?.homes ?? []), ...(isHome ? [node.host] : [])];
      views.set(name, { name, homes, cell: previous === undefined || isHome ? cell : previous.cell });
    }
  }
  return [...views.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
}
