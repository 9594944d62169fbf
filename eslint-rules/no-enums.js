/** Reports enums; constant objects take their place. */
export const noEnums = {
  meta: { type: 'suggestion', schema: [], messages: { enum: 'Use a constant object in place of an enum.' } },
  create(context) {
    return {
      TSEnumDeclaration(node) {
        context.report({ node, messageId: 'enum' });
      },
    };
  },
};
