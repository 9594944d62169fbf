/** Reads model and weight version from the text under which pieces are cached; `undefined` for foreign texts. */
export function parseCacheScope(
  scope: string,
): { readonly model: string; readonly version: number } | undefined {
  const [model = '', version = ''] = scope.split('/');
  return /^\d+$/.test(version) ? { model, version: Number(version) } : undefined;
}
