import { startTimer } from '@laburnumshift/clock';
import { parseUrl } from './parse-url.js';
import { readJsonResponse } from './read-json-response.js';

/** Limit for the whole exchange. A node queries all other nodes before it responds, so it may take longer than one call. */
const TIMEOUT_MS = 8000;

/** The HTTP status and parsed JSON body of a response, or the reason why there is none. */
type NodeAnswer =
  | { readonly kind: 'answered'; readonly status: number; readonly body: unknown }
  | { readonly kind: 'unreachable'; readonly detail: string };

/**
 * Sends a request to an operator endpoint of a node. Network errors, a timeout and a body that is not JSON are returned as
 * `unreachable`.
 *
 * @throws UsageError if `node` is missing or is not an HTTP URL
 */
export async function askNode(
  node: string | undefined,
  token: string | undefined,
  method: 'GET' | 'POST',
  path: string,
): Promise<NodeAnswer> {
  const url = new URL(path, parseUrl('--node', 'LABURNUMSHIFT_NODE', node));
  const controller = new AbortController();
  const cancelTimer = startTimer(TIMEOUT_MS, () => {
    controller.abort(new Error(`no answer in ${String(TIMEOUT_MS)} ms`));
  });
  try {
    const headers: Record<string, string> = token === undefined ? {} : { authorization: `Bearer ${token}` };
    const answer = await readJsonResponse(url, { method, headers, signal: controller.signal });
    return { kind: 'answered', ...answer };
  } catch (error) {
    const cause = error instanceof Error && error.cause instanceof Error ? error.cause : error;
    return { kind: 'unreachable', detail: cause instanceof Error ? cause.message : String(cause) };
  } finally {
    cancelTimer();
  }
}
