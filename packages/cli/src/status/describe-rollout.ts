import type { NodeStatus } from './node-status.js';

const describeLag = (node: NodeStatus): string =>
  node.unreachable !== undefined
    ? `${node.host} (no answer: ${node.unreachable})`
    : `${node.host} (generation ${String(node.generation ?? 0)}${node.stale ? ', takes no new work' : ''})`;

/** Describes the newest generation that a node reports, and lists the nodes on which it is not in force. */
export function describeRollout(nodes: readonly NodeStatus[]): readonly string[] {
  const newest = Math.max(0, ...nodes.map((node) => node.generation ?? 0));
  const lagging = nodes.filter((node) => node.stale || (node.generation ?? 0) < newest || node.unreachable);
  const count = `${String(nodes.length - lagging.length)} of ${String(nodes.length)} nodes`;
  if (newest === 0) return ['No configuration is in force; publish one.'];
  return [
    `Generation ${String(newest)} is in force on ${count}.`,
    ...(lagging.length === 0 ? [] : [`Not in force on: ${lagging.map(describeLag).join(', ')}`]),
  ];
}
