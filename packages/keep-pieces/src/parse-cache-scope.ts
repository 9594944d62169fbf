/** Parses model and weight version from a cache scope; `undefined` when the second part is not a number. */
export function parseCacheScope(
  scope: string,
): { readonly model: string; readonly version: number } | undefined {
  const [model = '', version = ''] = scope.split('/');
  return /^\d+$/.test(version) ? { model, version: Number(version) } : undefined;
}
