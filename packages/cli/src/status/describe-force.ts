import type { NodeStatus } from './node-status.js';

const describeLag = (node: NodeStatus): string =>
  node.unreachable !== undefined
    ? `${node.host} (no answer: ${node.unreachable})`
    : `${node.host} (generation ${String(node.generation ?? 0)}${node.stale ? ', takes no new work' : ''})`;

/** Describes which generation is in force, and which nodes lack it. */
export function describeForce(nodes: readonly NodeStatus[]): readonly string[] {
  const newest = Math.max(0, ...nodes.map((node) => node.generation ?? 0));
  const late = nodes.filter((node) => node.stale || (node.generation ?? 0) < newest || node.unreachable);
  const count = `${String(nodes.length - late.length)} of ${String(nodes.length)} nodes`;
  if (newest === 0) return ['No configuration is in force; publish one.'];
  return [
    `Generation ${String(newest)} is in force on ${count}.`,
    ...(late.length === 0 ? [] : [`Not in force on: ${late.map(describeLag).join(', ')}`]),
  ];
}
