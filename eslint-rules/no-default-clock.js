const TIMERS = new Set(['setTimeout', 'setInterval', 'setImmediate']);

/** Reports use of the clock and of timers outside the clock package. */
export const noDefaultClock = {
  meta: {
    type: 'problem',
    schema: [],
    messages: { clock: "Use '@laburnumshift/clock' in place of '{{name}}'." },
  },
  create(context) {
    return {
      CallExpression(node) {
        const { callee } = node;
        if (callee.type === 'Identifier' && TIMERS.has(callee.name)) {
          context.report({ node, messageId: 'clock', data: { name: callee.name } });
        }
        const isNow =
          callee.type === 'MemberExpression' &&
          callee.object.type === 'Identifier' &&
          ['Date', 'performance'].includes(callee.object.name) &&
          callee.property.type === 'Identifier' &&
          callee.property.name === 'now';
        if (isNow) context.report({ node, messageId: 'clock', data: { name: `${callee.object.name}.now` } });
      },
      'NewExpression[callee.name="Date"][arguments.length=0]'(node) {
        context.report({ node, messageId: 'clock', data: { name: 'new Date()' } });
      },
      'ImportDeclaration[source.value=/^(node:)?timers/]'(node) {
        context.report({ node, messageId: 'clock', data: { name: node.source.value } });
      },
    };
  },
};
