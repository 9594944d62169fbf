/** Reports files with more than one export. */
export const oneExport = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { many: 'A file has one export; this one has {{count}}.' },
  },
  create(context) {
    return {
      Program(node) {
        const count = node.body.filter((item) => /^Export/.test(item.type)).length;
        if (count > 1) context.report({ node, messageId: 'many', data: { count: String(count) } });
      },
    };
  },
};
