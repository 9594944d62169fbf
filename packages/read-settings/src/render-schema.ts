import { z } from 'zod';
import { describeLimits } from './describe-limits.js';
import type { SchemaNode } from './schema-node.js';

interface Row {
  readonly path: string;
  readonly node: SchemaNode;
  /** Text of the default column when the member has no default. */
  readonly need: string;
}

const listRows = (path: string, node: SchemaNode, need: string): readonly Row[] => {
  if (node.type === 'object') {
    const isOptional = need === '-' && node.default === undefined;
    const childNeed = isOptional ? `required with \`${path}\`` : 'required';
    return Object.entries(node.properties ?? {}).flatMap(([name, child]) =>
      listRows(
        path === '' ? name : `${path}.${name}`,
        child,
        node.required?.includes(name) === true ? childNeed : '-',
      ),
    );
  }
  const self = node.description === undefined ? [] : [{ path, node, need }];
  return node.items?.type === 'object' ? [...self, ...listRows(`${path}[]`, node.items, 'required')] : self;
};

/**
 * Renders the members of a schema as a Markdown table: path, values, default and meaning. Members of lists have `[]` in
 * their path.
 *
 * @throws {Error} when a member has no description
 */
export function renderSchema(schema: z.ZodType): string {
  const root = z.toJSONSchema(schema, { io: 'input' }) as SchemaNode;
  const rows = listRows('', root, 'required');
  const bare = findBare('', root);
  if (bare !== undefined) throw new Error(`'${bare}' has no description`);
  const lines = rows.map(({ path, node, need }) => {
    const value = node.default === undefined ? need : `\`${JSON.stringify(node.default)}\``;
    return `| ${[`\`${path}\``, describeLimits(node), value, node.description ?? ''].join(' | ')} |`;
  });
  return ['| name | values | default | meaning |', '| --- | --- | --- | --- |', ...lines].join('\n');
}

function findBare(path: string, node: SchemaNode): string | undefined {
  if (node.type === 'object') {
    return Object.entries(node.properties ?? {})
      .map(([name, child]) => findBare(`${path}.${name}`, child))
      .find((found) => found !== undefined);
  }
  if (node.description === undefined) return path;
  return node.items?.type === 'object' ? findBare(`${path}[]`, node.items) : undefined;
}
