import type { BackendLoad } from '@laburnumshift/forward-types';

/**
 * Computes the time that a call is expected to have spent in the queue of its server, milliseconds. While the cost of calls is unknown,
 * only a server that has no calls waiting tells that there was no queue.
 *
 * @param load the load that the server reported with the answer
 * @param slowness slowness of the server when the call was sent
 * @returns `undefined` when it is unknown
 */
export function computeQueueMs(
  { costMs, expectedMs }: { readonly costMs: number | undefined; readonly expectedMs: number },
  load: BackendLoad | undefined,
  slowness: number,
): number | undefined {
  if (costMs !== undefined && expectedMs > 0) return Math.max(0, expectedMs - costMs * slowness);
  return load === undefined || load.waiting === 0 ? 0 : undefined;
}
