/**
 * Builds the scope under which pieces are cached, `MODEL/VERSION/OWNER`. It contains the weight version, so that pieces of other
 * weights are never found. An unknown version is written as 0.
 *
 * @param owner as `computeCacheOwner` returns it
 */
export function buildCacheScope(owner: string, model: string, version: number | undefined): string {
  return `${model}/${String(version ?? 0)}/${owner}`;
}
