import { z } from 'zod';
import { describeLimits } from './describe-limits.js';
import type { SchemaNode } from './schema-node.js';

/** A row of the table, for one member of the schema. */
interface Row {
  readonly path: string;
  readonly node: SchemaNode;
  /** Text of the default column for a member without a default: `-` when it is optional. */
  readonly requirement: string;
}

const listRows = (path: string, node: SchemaNode, requirement: string): readonly Row[] => {
  if (node.type === 'object') {
    const isOptional = requirement === '-' && node.default === undefined;
    const childRequirement = isOptional ? `required with \`${path}\`` : 'required';
    return Object.entries(node.properties ?? {}).flatMap(([name, child]) =>
      listRows(
        path === '' ? name : `${path}.${name}`,
        child,
        node.required?.includes(name) === true ? childRequirement : '-',
      ),
    );
  }
  const ownRow = node.description === undefined ? [] : [{ path, node, requirement }];
  return node.items?.type === 'object'
    ? [...ownRow, ...listRows(`${path}[]`, node.items, 'required')]
    : ownRow;
};

/**
 * Renders the members of a schema as a Markdown table with the columns name, values, default and meaning. The name is the
 * path of the member, with `[]` after each list.
 *
 * @throws {Error} when a member has no description
 */
export function renderSchema(schema: z.ZodType): string {
  const root = z.toJSONSchema(schema, { io: 'input' }) as SchemaNode;
  const rows = listRows('', root, 'required');
  const undescribedPath = findUndescribedPath('', root);
  if (undescribedPath !== undefined) throw new Error(`'${undescribedPath}' has no description`);
  const lines = rows.map(({ path, node, requirement }) => {
    const value = node.default === undefined ? requirement : `\`${JSON.stringify(node.default)}\``;
    return `| ${[`\`${path}\``, describeLimits(node), value, node.description ?? ''].join(' | ')} |`;
  });
  return ['| name | values | default | meaning |', '| --- | --- | --- | --- |', ...lines].join('\n');
}

function findUndescribedPath(path: string, node: SchemaNode): string | undefined {
  if (node.type === 'object') {
    return Object.entries(node.properties ?? {})
      .map(([name, child]) => findUndescribedPath(`${path}.${name}`, child))
      .find((found) => found !== undefined);
  }
  if (node.description === undefined) return path;
  return node.items?.type === 'object' ? findUndescribedPath(`${path}[]`, node.items) : undefined;
}
