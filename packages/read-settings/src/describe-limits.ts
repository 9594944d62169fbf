import type { SchemaNode } from './schema-node.js';

const TYPE_LABELS: Readonly<Record<string, string>> = {
  integer: 'whole number',
  boolean: '`true` or `false`',
  string: 'text',
};

const describeType = (node: SchemaNode): string => {
  if (node.anyOf !== undefined) return node.anyOf.map(describeLimits).join(' or ');
  if (node.enum !== undefined) return node.enum.map((value) => `\`${value}\``).join(', ');
  if (node.const !== undefined) return `\`${JSON.stringify(node.const)}\``;
  if (node.items !== undefined)
    return `list of ${node.items.type === 'object' ? 'objects' : describeLimits(node.items)}`;
  if (node.format === 'uri') return 'URL';
  if (node.format === 'date-time') return 'time such as `2026-01-31T00:00:00Z`';
  return TYPE_LABELS[node.type ?? ''] ?? node.type ?? '';
};

/** Describes the type and limits of the values that a member accepts, as Markdown for a table cell. */
export function describeLimits(node: SchemaNode): string {
  const { minimum, exclusiveMinimum, maximum, minLength, minItems } = node;
  const limits = [
    ...(minimum === undefined ? [] : [`at least ${String(minimum)}`]),
    ...(exclusiveMinimum === undefined ? [] : [`above ${String(exclusiveMinimum)}`]),
    ...(maximum === undefined || maximum === Number.MAX_SAFE_INTEGER ? [] : [`at most ${String(maximum)}`]),
    ...(minLength === undefined || minLength < 2 ? [] : [`at least ${String(minLength)} characters`]),
    ...(minItems === undefined ? [] : ['not empty']),
  ];
  return [describeType(node), ...limits].join(', ');
}
