import { readVerbs } from './read-verbs.js';

const verbs = readVerbs();

/** Reports named functions whose first word is not in docs/verbs.md. */
export const functionVerbs = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { verb: "Function '{{name}}' does not begin with a verb from docs/verbs.md." },
  },
  create(context) {
    const check = (node, name) => {
      const first = /^[a-z]+/.exec(name)?.[0];
      if (first === undefined || !verbs.has(first))
        context.report({ node, messageId: 'verb', data: { name } });
    };
    return {
      FunctionDeclaration(node) {
        if (node.id) check(node.id, node.id.name);
      },
      VariableDeclarator(node) {
        const isFunction =
          node.init?.type === 'ArrowFunctionExpression' || node.init?.type === 'FunctionExpression';
        if (isFunction && node.id.type === 'Identifier') check(node.id, node.id.name);
      },
      MethodDefinition(node) {
        if (node.kind === 'method' && node.key.type === 'Identifier') check(node.key, node.key.name);
      },
    };
  },
};
